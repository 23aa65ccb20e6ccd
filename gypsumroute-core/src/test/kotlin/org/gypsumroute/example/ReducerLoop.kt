package org.gypsumroute.example

import kotlin.time.Duration
import org.gypsumroute.api.Effect
import org.gypsumroute.api.Event
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.NodeState
import org.gypsumroute.core.reduce
import org.gypsumroute.core.step

/**
 * Feeds events to the reducer one by one and passes its effects to [carryOut], which reports
 * results with [offer]. Must be used from one thread. Time is simulated; a program with a real
 * clock and timers would take the events from a blocking queue instead.
 */
class ReducerLoop(initial: NodeState, private val carryOut: (Effect) -> Unit) {
    private val events = ArrayDeque<Event>()
    private val timers = mutableMapOf<TimerId, Moment>()
    private var now = Moment.START

    var state = initial
        private set

    /** Queues an event; may be called while an effect is carried out. */
    fun offer(event: Event) = events.addLast(event)

    /** Processes all queued events, including those that they cause. */
    fun run() {
        while (true) {
            val event = events.removeFirstOrNull() ?: return
            apply(RuntimeEvent.ClockRead(now, entropy = now.milliseconds))
            apply(event)
        }
    }

    /** Advances the clock and fires the timers that become due, earliest first. */
    fun advance(by: Duration) {
        val end = now + by
        while (true) {
            val (timer, due) = nextTimer(end) ?: break
            now = due
            timers.remove(timer)
            offer(RuntimeEvent.TimerFired(timer))
            run()
        }
        now = end
    }

    private fun nextTimer(end: Moment) = timers.minByOrNull { it.value }?.takeIf { it.value <= end }

    private fun apply(event: Event) {
        val step = reduce(state, event)
        state = step.state
        for (effect in step.effects) {
            when (effect) {
                is RuntimeEffect.SetTimer -> timers[effect.timer] = now + effect.after
                is RuntimeEffect.CancelTimer -> timers.remove(effect.timer)
                else -> carryOut(effect)
            }
        }
    }
}
