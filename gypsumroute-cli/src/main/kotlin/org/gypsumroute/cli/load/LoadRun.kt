package org.gypsumroute.cli.load

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/**
 * Sends the planned requests by [call] at their times, one thread per open request, and waits for
 * all answers. A request is never held back by an earlier one.
 */
fun runLoad(
    plan: List<PlannedRequest>,
    call: (PlannedRequest, ComparableTimeMark) -> CallOutcome
): List<CallOutcome> {
    val outcomes = ConcurrentLinkedQueue<CallOutcome>()
    val open = CountDownLatch(plan.size)
    val callers = Executors.newCachedThreadPool { task ->
        Thread(null, task, "load-call", CALL_STACK_BYTES).apply { isDaemon = true }
    }
    val clock = Executors.newSingleThreadScheduledExecutor()
    val start = TimeSource.Monotonic.markNow()
    for (planned in plan) {
        val arrival = start + planned.arrivalOffset
        val send = Runnable {
            callers.execute {
                try {
                    outcomes += call(planned, arrival)
                } finally {
                    open.countDown()
                }
            }
        }
        val delay = (arrival - TimeSource.Monotonic.markNow()).inWholeNanoseconds
        clock.schedule(send, delay, TimeUnit.NANOSECONDS)
    }
    open.await()
    clock.shutdown()
    callers.shutdown()
    return outcomes.sortedBy { it.promptTokens }
}

private const val CALL_STACK_BYTES = 256L * 1024
