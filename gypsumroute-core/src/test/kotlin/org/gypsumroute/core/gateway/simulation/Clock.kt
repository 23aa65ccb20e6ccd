package org.gypsumroute.core.gateway.simulation

import java.util.PriorityQueue

/** Simulated time in milliseconds; actions of one moment run in the order of their planning. */
internal class Clock {
    private val planned = PriorityQueue<Planned>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    var now = 0.0
        private set

    fun after(time: Double, action: () -> Unit): Planned =
        Planned(now + time, order++, action).also { planned += it }

    fun cancel(action: Planned) {
        planned -= action
    }

    /** Runs everything planned up to [end]. */
    fun runUntil(end: Double) {
        while (true) {
            val next = planned.peek()?.takeIf { it.at <= end } ?: break
            planned.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    internal class Planned(val at: Double, val order: Long, val action: () -> Unit)
}
