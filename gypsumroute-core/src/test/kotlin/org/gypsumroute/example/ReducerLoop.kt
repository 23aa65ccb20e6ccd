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

/**
 * Feeds events to the reducer one by one and hands its effects to [carryOut], which answers with
 * [offer]. Call it from one thread. A program with a real clock and timers does the same with a
 * blocking queue.
 */
class ReducerLoop(initial: NodeState, private val carryOut: (Effect) -> Unit) {
    private val waiting = ArrayDeque<Event>()
    private val timers = mutableMapOf<TimerId, Moment>()
    private var now = Moment.START

    var state = initial
        private set

    /** Queues an event; safe to call while an effect is carried out. */
    fun offer(event: Event) = waiting.addLast(event)

    /** Processes all events that wait, including those that they cause. */
    fun run() {
        while (true) {
            val event = waiting.removeFirstOrNull() ?: return
            apply(RuntimeEvent.ClockRead(now, entropy = now.milliseconds))
            apply(event)
        }
    }

    /** Moves the clock and fires the timers that came due, earliest first. */
    fun advance(by: Duration) {
        val end = now + by
        while (true) {
            val (timer, due) = timers.minByOrNull { it.value }?.takeIf { it.value <= end } ?: break
            now = due
            timers.remove(timer)
            offer(RuntimeEvent.TimerFired(timer))
            run()
        }
        now = end
    }

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
