package org.gypsumroute.core.fuzz

import java.util.PriorityQueue
import kotlin.time.Duration
import org.gypsumroute.api.Moment

/** Tasks scheduled in virtual time; tasks of the same moment run in the order they were added. */
internal class Schedule {
    var now: Moment = Moment.START
        private set
    private val tasks = PriorityQueue<ScheduledTask>(compareBy({ it.at }, { it.number }))
    private var counter = 0L

    fun after(delay: Duration, task: () -> Unit) {
        tasks += ScheduledTask(now + delay, counter++, task)
    }

    /** Advances virtual time and runs all tasks that fall due. */
    fun advance(duration: Duration) {
        val until = now + duration
        while (tasks.isNotEmpty() && tasks.peek().at <= until) {
            val next = tasks.poll()
            now = maxOf(now, next.at)
            next.task()
        }
        now = until
    }

    private class ScheduledTask(val at: Moment, val number: Long, val task: () -> Unit)
}
