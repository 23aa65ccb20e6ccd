package org.gypsumroute.core.fuzz

import java.util.PriorityQueue
import kotlin.time.Duration
import org.gypsumroute.api.Moment

/** Work to be done at later moments of virtual time, in a fixed order for equal moments. */
internal class Schedule {
    var now: Moment = Moment.START
        private set
    private val planned = PriorityQueue<Planned>(compareBy({ it.at }, { it.number }))
    private var counter = 0L

    fun after(delay: Duration, task: () -> Unit) {
        planned += Planned(now + delay, counter++, task)
    }

    /** Moves virtual time forward and does everything that comes due. */
    fun advance(duration: Duration) {
        val until = now + duration
        while (planned.isNotEmpty() && planned.peek().at <= until) {
            val next = planned.poll()
            now = maxOf(now, next.at)
            next.task()
        }
        now = until
    }

    private class Planned(val at: Moment, val number: Long, val task: () -> Unit)
}
