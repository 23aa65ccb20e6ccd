package org.gypsumroute.core.gateway.simulation

import java.util.PriorityQueue

/** Simulated time in milliseconds; actions due at the same time run in the order of scheduling. */
internal class SimulatedClock {
    private val scheduled = PriorityQueue<ScheduledAction>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    var now = 0.0
        private set

    /** Schedules [action] to run [delay] milliseconds from now. */
    fun after(delay: Double, action: () -> Unit): ScheduledAction =
        ScheduledAction(now + delay, order++, action).also { scheduled += it }

    fun cancel(action: ScheduledAction) {
        scheduled -= action
    }

    /** Runs all actions that are due up to [end]. */
    fun runUntil(end: Double) {
        while (true) {
            val next = scheduled.peek()?.takeIf { it.at <= end } ?: break
            scheduled.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    internal class ScheduledAction(val at: Double, val order: Long, val action: () -> Unit)
}
