/*
 * Case: the watches at the store are cut shortly before a runner leaves.
 */
package review

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Sends unsafe requests at a steady rate through three gateways. The store cuts the waiting watches;
 * half a second later the entry of one of three runners is removed. The runner serves on for some
 * seconds. The rule is broken if requests reach it later than the drain time after the removal.
 */
fun cutWatch(setup: Setup): Boolean {
    val arrivals = ConcurrentHashMap<String, Long>()
    val runners = List(RUNNERS) { index ->
        RunnerStandIn("i-$index", "order-desk", slots = 6) { call ->
            setup.record.ran(call.id, "i-$index")
            if (index == LEAVING) arrivals[call.id] = System.nanoTime()
            Thread.sleep(WORK_MS)
            call.answer("200 OK", "order ${call.id} taken")
        }
    }
    runners.forEach { setup.store.put("servers/${it.id}", it.entry()) }
    val route = RouteEntry("orders", "/orders/", "unsafe", "order-desk", DEADLINE_MS, 121)
    setup.store.put("op/config", configuration(1, listOf(route), listOf("order-desk")))
    val gateways = setup.gateways(GATEWAYS)
    val sent = AtomicInteger()
    val end = System.nanoTime() + TOTAL_MS * 1_000_000
    val callers = List(CALLERS) { number ->
        thread { callSteadily(setup, gateways[number % GATEWAYS], sent, end) }
    }
    Thread.sleep(CALM_MS)
    if (setup.trouble) {
        setup.store.cutWatches()
        setup.record.line("the waiting watches are cut")
    }
    Thread.sleep(CUT_TO_REMOVAL_MS)
    setup.store.put("servers/${runners[LEAVING].id}", null)
    val removedAt = System.nanoTime()
    setup.record.line("the removal of ${runners[LEAVING].id} is acknowledged")
    callers.forEach { it.join() }
    val late = arrivals.filterValues { it > removedAt + DRAIN_MS * 1_000_000 }
    val latest = arrivals.values.maxOrNull()?.let { (it - removedAt) / 1_000_000 }
    setup.record.line(
        "${late.size} of ${sent.get()} requests reached the runner later than $DRAIN_MS ms after " +
            "its removal, the last one $latest ms after it"
    )
    return late.isEmpty()
}

private fun callSteadily(setup: Setup, gateway: Gateway, sent: AtomicInteger, end: Long) {
    var caller = Caller(gateway.callersAddress)
    while (System.nanoTime() < end) {
        val id = "r${sent.incrementAndGet()}"
        val answer = caller.call("/orders/new", id, DEADLINE_MS)
        setup.record.line("caller sent $id, answer ${answer?.head?.status}")
        if (answer == null || answer.head["connection"] == "close") {
            caller.close()
            caller = Caller(gateway.callersAddress)
        }
        Thread.sleep(INTERVAL_MS)
    }
    caller.close()
}

private const val RUNNERS = 3
private const val LEAVING = 0
private const val GATEWAYS = 3
private const val CALLERS = 6
private const val WORK_MS = 21L
private const val INTERVAL_MS = 100L
private const val DEADLINE_MS = 600
private const val CALM_MS = 10_000L
private const val CUT_TO_REMOVAL_MS = 500L
private const val DRAIN_MS = 2000L
private const val TOTAL_MS = 16_000L
