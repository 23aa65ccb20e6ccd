/*
 * Case: prompts that are larger than the free memory of seventeen engines together.
 */
package review

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A burst of long prompts fills most of the memory of all engines with streams that go on for some
 * seconds. Then prompts arrive that no engine has room for. The rule is broken if eight or more of
 * them, and more than half, have no answer half a second after the time-out of their route.
 */
fun unansweredPrompt(setup: Setup): Boolean {
    val runners = List(RUNNERS) { index ->
        RunnerStandIn("i-$index", WRITERS, slots = 11) { call ->
            if (call.head.path == "/v1/order") {
                call.write(ORDER_ANSWER)
            } else {
                setup.record.ran(call.id, "i-$index")
                stream(call)
            }
        }
    }
    runners.forEach { setup.store.put("servers/${it.id}", it.entry()) }
    setup.store.put(
        "op/config",
        configuration(
            version = 1,
            routes = listOf(route("season", objectiveMs = 1500, gapMs = 500), route("archive", 3000, 800)),
            services = listOf(WRITERS),
            engines = setOf(WRITERS),
            engineMemory = ENGINE_MEMORY
        )
    )
    val gateways = setup.gateways(GATEWAYS)
    Thread.sleep(CALM_MS)
    val sent = AtomicInteger()
    val callers = CopyOnWriteArrayList<Thread>()
    val unanswered = AtomicInteger()
    fun send(route: String, tokens: Int, watched: Boolean) {
        val id = "$route-${sent.incrementAndGet()}"
        val gateway = gateways[sent.get() % GATEWAYS]
        callers += thread {
            val answer = call(gateway, route, id, tokens)
            setup.record.line("$id: ${answer?.head?.status ?: "no answer"}")
            if (watched && answer == null) unanswered.incrementAndGet()
        }
        Thread.sleep(INTERVAL_MS)
    }
    if (setup.trouble) repeat(RUNNERS) { send("season", LONG_PROMPT, watched = false) }
    repeat(LARGE_PROMPTS) { send("archive", LARGE_PROMPT, watched = true) }
    callers.forEach { it.join() }
    val count = unanswered.get()
    setup.record.line("$count of $LARGE_PROMPTS large prompts have no answer")
    return count < COUNTED_FROM || count * 2 <= LARGE_PROMPTS
}

private fun route(name: String, objectiveMs: Int, gapMs: Int) = RouteEntry(
    name,
    "/$name/",
    "streaming",
    WRITERS,
    TIMEOUT_MS,
    objectiveMs,
    maxAttempts = 2,
    more = ""","stream_resume":true,"target_gap_ms":$gapMs"""
)

/** Waits until half a second after the time-out of the route. */
private fun call(gateway: Gateway, route: String, id: String, tokens: Int): Answer? {
    val headers = mapOf(
        "Gypsumroute-Model" to "m",
        "Gypsumroute-Token-Usage" to "$tokens,$OUTPUT_TOKENS",
        "Gypsumroute-Prompt-Prefix" to "5c1e07a2:40,${id.hashCode().toUInt().toString(16)}:$tokens"
    )
    return Caller(gateway.callersAddress).use {
        it.call("/$route/x", id, DEADLINE_MS, headers = headers, waitMs = TIMEOUT_MS + SLACK_MS)
    }
}

private fun stream(call: RunnerCall) {
    call.write(
        "HTTP/1.1 200 OK\r\nGypsumroute-Request-Id: ${call.id}\r\n" +
            "Gypsumroute-Response-Signature: ${RunnerCall.SIGNATURE}\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    val first = call.head["last-event-id"]?.toIntOrNull() ?: 0
    for (event in first + 1..EVENTS) {
        Thread.sleep(EVENT_MS)
        val text = "id: $event\ndata: ${call.id}\n\n"
        call.write("%x\r\n%s\r\n".format(text.length, text))
    }
    call.write("0\r\n\r\n")
}

private const val WRITERS = "menu-writer"
private const val ORDER_ANSWER = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
    "Content-Length: 14\r\n\r\n{\"free\":40000}"

/** The sixteen runners of the site and the share of 0.3 that `scale_out` adds. */
private const val RUNNERS = 20
private const val GATEWAYS = 3

/** Memory of an engine in tokens, as in the example of a report in PROTOCOL.md. */
private const val ENGINE_MEMORY = 90_000
private const val LONG_PROMPT = 45_000
private const val LARGE_PROMPT = 740_000
private const val OUTPUT_TOKENS = 800
private const val LARGE_PROMPTS = 10
private const val COUNTED_FROM = 8
private const val TIMEOUT_MS = 10_000
private const val DEADLINE_MS = 15_000
private const val SLACK_MS = 500
private const val CALM_MS = 4000L
private const val INTERVAL_MS = 220L
private const val EVENTS = 20
private const val EVENT_MS = 450L
