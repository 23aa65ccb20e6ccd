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
     * The time at which the next event is taken from the mailbox, and new random bits.
     *
     * The control thread passes one to the reducer before each other event.
     */
    data class ClockRead(val at: Moment, val entropy: Long) : RuntimeEvent

    /** A timer that was set by `SetTimer` expired. */
    data class TimerFired(val timer: TimerId) : RuntimeEvent

    /** The process started; the reducer sets its first timers. */
    data object Started : RuntimeEvent

    /** The operator asked for a planned stop. */
    data object DrainRequested : RuntimeEvent
}
