package org.gypsumroute.cli.load

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource

/**
 * Runs [call] for each planned request at its time and waits for all outcomes. Each open request
 * has a thread of its own, so that no request waits for an earlier one.
 */
fun runLoad(
    plan: List<PlannedRequest>,
    call: (PlannedRequest, ComparableTimeMark) -> CallOutcome
): List<CallOutcome> {
    val outcomes = ConcurrentLinkedQueue<CallOutcome>()
    val unfinished = CountDownLatch(plan.size)
    val callThreads = Executors.newCachedThreadPool { task ->
        Thread(null, task, "load-call", CALL_STACK_BYTES).apply { isDaemon = true }
    }
    val scheduler = Executors.newSingleThreadScheduledExecutor()
    val start = TimeSource.Monotonic.markNow()
    for (planned in plan) {
        val arrival = start + planned.arrivalOffset
        val send = Runnable {
            callThreads.execute {
                try {
                    outcomes += call(planned, arrival)
                } finally {
                    unfinished.countDown()
                }
            }
        }
        val delay = (arrival - TimeSource.Monotonic.markNow()).inWholeNanoseconds
        scheduler.schedule(send, delay, TimeUnit.NANOSECONDS)
    }
    unfinished.await()
    scheduler.shutdown()
    callThreads.shutdown()
    return outcomes.sortedBy { it.promptTokens }
}

private const val CALL_STACK_BYTES = 256L * 1024
