/*
 * Trial: prompts that need reserved memory come more often than reservations are renewed.
 */
package review

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Sends prompts that are larger than the memory of one runner, each [TROUBLE_INTERVAL_MS]. Runners
 * cut off a request whose reserved memory has expired. Returns whether all streams were complete.
 */
fun starvedRenewal(setup: Setup): Boolean {
    val tickets = Tickets()
    val runners = List(RUNNERS) { index ->
        RunnerStandIn("i-$index", WRITERS, slots = 11) { call ->
            if (call.head.path == "/v1/order") {
                tickets.order(call)
            } else {
                setup.record.ran(call.id, "i-$index")
                stream(setup, tickets, call)
            }
        }
    }
    runners.forEach { setup.store.put("servers/${it.id}", it.entry()) }
    val resumable = ""","stream_resume":true,"target_gap_ms":800"""
    val route = RouteEntry("a", "/archive/", "streaming", WRITERS, DEADLINE_MS, 3000, 2, resumable)
    setup.store.put(
        "op/config",
        configuration(1, listOf(route), listOf(WRITERS), engines = setOf(WRITERS))
    )
    val gateway = setup.gateway()
    Thread.sleep(CALM_MS)
    val incomplete = AtomicInteger()
    val callers = List(PROMPTS) { number ->
        Thread.sleep(if (setup.trouble) TROUBLE_INTERVAL_MS else CALM_INTERVAL_MS)
        thread {
            val id = "archive-$number"
            val answer = Caller(gateway.callersAddress).use {
                it.call("/archive/x", id, DEADLINE_MS, headers = headersFor(number))
            }
            setup.record.line("$id: ${answer?.head?.status}, complete: ${answer?.complete}")
            if (answer?.complete != true) incomplete.incrementAndGet()
        }
    }
    callers.forEach { it.join() }
    setup.record.line(
        "${incomplete.get()} of $PROMPTS answers are incomplete; " +
            "${tickets.reserved.get()} reservations, ${tickets.renewed.get()} renewals"
    )
    return incomplete.get() == 0
}

/** The reserved memory at all runners. */
private class Tickets {
    private val expiries = ConcurrentHashMap<String, Long>()
    val reserved = AtomicInteger()
    val renewed = AtomicInteger()

    fun order(call: RunnerCall) {
        val text = call.body.decodeToString()
        val id = Regex("\"id\":\"([^\"]*)\"").find(text)!!.groupValues[1]
        if ("\"reserve\"" in text) {
            val hold = Regex("\"hold_ms\":(\\d+)").find(text)!!.groupValues[1].toLong()
            val before = expiries.put(id, System.nanoTime() + hold * 1_000_000)
            (if (before == null) reserved else renewed).incrementAndGet()
        } else {
            expiries.remove(id)
        }
        call.write(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
                "Content-Length: 14\r\n\r\n{\"free\":40000}"
        )
    }

    /** Whether the memory of all tickets that the request names is still set aside. */
    fun hold(call: RunnerCall): Boolean = call.head["gypsumroute-helpers"].orEmpty().split(',')
        .map { it.substringAfter('/', "") }
        .filter { it.isNotEmpty() }
        .all { (expiries[it] ?: 0) > System.nanoTime() }
}

private fun stream(setup: Setup, tickets: Tickets, call: RunnerCall) {
    call.write(
        "HTTP/1.1 200 OK\r\nGypsumroute-Request-Id: ${call.id}\r\n" +
            "Gypsumroute-Response-Signature: ${RunnerCall.SIGNATURE}\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    val first = call.head["last-event-id"]?.toIntOrNull() ?: 0
    for (event in first + 1..EVENTS) {
        Thread.sleep(EVENT_MS)
        if (!tickets.hold(call)) {
            setup.record.line("memory of ${call.id} has expired; the runner cuts it off")
            throw IOException("cut off")
        }
        val text = "id: $event\ndata: ${call.id}\n\n"
        call.write("%x\r\n%s\r\n".format(text.length, text))
    }
    call.write("0\r\n\r\n")
}

private fun headersFor(number: Int) = mapOf(
    "Gypsumroute-Model" to "m",
    "Gypsumroute-Token-Usage" to "600000,800",
    "Gypsumroute-Prompt-Prefix" to "5c1e07a2:40,%08x:599960".format(number + 1)
)

private const val WRITERS = "menu-writer"
private const val RUNNERS = 16
private const val PROMPTS = 40
private const val DEADLINE_MS = 15_000
private const val CALM_MS = 3000L
private const val TROUBLE_INTERVAL_MS = 700L
private const val CALM_INTERVAL_MS = 1500L
private const val EVENTS = 17
private const val EVENT_MS = 500L
