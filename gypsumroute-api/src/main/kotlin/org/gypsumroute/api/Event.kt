/*
 * Everything that can happen to a process, as data.
 *
 * Events are grouped by source. Each group is a sealed interface in a file of its own.
 */
package org.gypsumroute.api

/** An input of the reducer. */
sealed interface Event

/** Events that come from the runtime itself. */
sealed interface RuntimeEvent : Event {
    /**
     * The clock at the time the following event is taken from the mailbox, with fresh random bits.
     *
     * The control thread feeds one before each other event.
     */
    data class ClockRead(val at: Moment, val entropy: Long) : RuntimeEvent

    /** A timer set by `SetTimer` came due. */
    data class TimerFired(val timer: TimerId) : RuntimeEvent

    /** The process began; the reducer sets its first timers. */
    data object Started : RuntimeEvent

    /** The operator asked for a planned stop. */
    data object DrainRequested : RuntimeEvent
}
