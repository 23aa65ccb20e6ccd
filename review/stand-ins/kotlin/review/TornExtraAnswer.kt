/*
 * Case: a runner writes a second answer after a complete one, and the second one breaks off.
 */
package review

import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Sends unsafe requests at a steady rate through one gateway to three runners. One of them writes
 * the beginning of a refusal after some of its complete answers. The rule is broken if a request
 * runs twice.
 */
fun tornExtraAnswer(setup: Setup): Boolean {
    val spoiling = java.util.concurrent.atomic.AtomicBoolean()
    val answersWhileSpoiling = AtomicInteger()
    val runners = List(3) { index ->
        val name = "i-$index"
        RunnerStandIn(name, "order-desk", slots = 6) { call ->
            setup.record.ran(call.id, name)
            Thread.sleep(WORK_MS)
            call.answer("200 OK", "order ${call.id} taken")
            val spoils = index == 0 && spoiling.get() &&
                answersWhileSpoiling.getAndIncrement() % ANSWERS_PER_SPOILED == 0
            if (spoils) {
                setup.record.line("runner $name writes a broken-off answer after that to ${call.id}")
                call.write(TORN_REFUSAL)
            }
        }
    }
    runners.forEach { setup.store.put("servers/${it.id}", it.entry()) }
    setup.store.put(
        "op/config",
        configuration(
            version = 1,
            routes = listOf(RouteEntry("orders", "/orders/", "unsafe", "order-desk", 600, 121)),
            services = listOf("order-desk")
        )
    )
    val gateway = setup.gateway()
    val sent = AtomicInteger()
    val end = System.nanoTime() + TOTAL_SECONDS * NANOSECONDS_PER_SECOND
    val callers = List(CALLERS) { number ->
        thread {
            var caller = Caller(gateway.callersAddress)
            Thread.sleep(number * INTERVAL_MS / CALLERS)
            while (System.nanoTime() < end) {
                val id = "r${sent.incrementAndGet()}"
                val answer = caller.call("/orders/new", id, deadlineMs = 600)
                setup.record.line("caller sent $id, answer ${answer?.head?.status}")
                if (answer == null || answer.head["connection"] == "close") {
                    caller.close()
                    caller = Caller(gateway.callersAddress)
                }
                Thread.sleep(INTERVAL_MS)
            }
            caller.close()
        }
    }
    Thread.sleep(CALM_SECONDS * MILLISECONDS_PER_SECOND)
    spoiling.set(setup.trouble)
    Thread.sleep(SPOILING_SECONDS * MILLISECONDS_PER_SECOND)
    spoiling.set(false)
    callers.forEach { it.join() }
    val twice = setup.record.runs.filterValues { it.size > 1 }
    setup.record.line("${sent.get()} sent; ran more than once: $twice")
    return twice.isEmpty()
}

/** A refusal as a runner sends it, broken off inside its second line. */
private const val TORN_REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nGypsumroute-Not-Executed: 1"

private const val WORK_MS = 21L

/** Three in a hundred answers are followed by a second one. */
private const val ANSWERS_PER_SPOILED = 33
private const val CALLERS = 4
private const val INTERVAL_MS = 80L
private const val CALM_SECONDS = 8L
private const val SPOILING_SECONDS = 5L
private const val TOTAL_SECONDS = 15L
private const val MILLISECONDS_PER_SECOND = 1000L
private const val NANOSECONDS_PER_SECOND = 1_000_000_000L
