/*
 * Case: a part of prompts crashes runners, and stands behind many other parts.
 */
package review

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Sends sound streams at a steady rate and, once a second, a request whose prompt has a part that
 * crashes the runner which begins to answer it. The rule is broken if more than three such requests
 * reach runners later than the stability window after the fifth crash.
 */
fun lateCrashingPart(setup: Setup): Boolean {
    val crashes = CopyOnWriteArrayList<Long>()
    val arrivals = CopyOnWriteArrayList<Long>()
    val runners = ArrayList<RunnerStandIn>()
    repeat(RUNNERS) { index ->
        runners += RunnerStandIn("i-$index", WRITERS, slots = 11) { call ->
            setup.record.ran(call.id, "i-$index")
            val parts = call.head["gypsumroute-prompt-prefix"].orEmpty().split(',')
                .map { it.substringBefore(':') }
            Thread.sleep(READING_MS)
            if (CRASHING_PART in parts.dropLast(1)) {
                arrivals += System.nanoTime()
                crashes += System.nanoTime()
                setup.record.line("runner i-$index crashes on ${call.id}")
                runners[index].crash()
                thread(isDaemon = true) { comeBack(setup, runners[index]) }
            } else {
                stream(call)
            }
        }
    }
    runners.forEach { setup.store.put("servers/${it.id}", it.entry()) }
    val resumable = ""","stream_resume":true,"target_gap_ms":200"""
    val route = RouteEntry("w", "/write/", "streaming", WRITERS, 10_000, 300, 2, resumable)
    setup.store.put(
        "op/config",
        configuration(1, listOf(route), listOf(WRITERS), engines = setOf(WRITERS))
    )
    val gateways = setup.gateways(3)
    val sent = AtomicInteger()
    val end = System.nanoTime() + TOTAL_MS * 1_000_000
    val soundCallers = List(SOUND_CALLERS) { number ->
        thread {
            val name = "sound-$number"
            callRepeatedly(setup, gateways, name, SOUND_INTERVAL_MS, SOUND_PART, sent, end)
        }
    }
    Thread.sleep(CALM_MS)
    val part = if (setup.trouble) CRASHING_PART else SOUND_PART
    callRepeatedly(setup, gateways, "crashing", CRASHING_INTERVAL_MS, part, sent, end)
    soundCallers.forEach { it.join() }
    val boundBegins = crashes.getOrNull(CRASHES_TO_LEARN - 1)?.let { it + STABILITY_MS * 1_000_000 }
    val late = boundBegins?.let { begin -> arrivals.count { it > begin } } ?: 0
    setup.record.line("${crashes.size} crashes; $late requests with the part reached runners too late")
    return late <= ALLOWED_LATE
}

private fun comeBack(setup: Setup, runner: RunnerStandIn) {
    Thread.sleep(DOWN_MS)
    runner.restart()
    setup.store.put("servers/${runner.id}", runner.entry())
}

private fun stream(call: RunnerCall) {
    call.write(
        "HTTP/1.1 200 OK\r\nGypsumroute-Request-Id: ${call.id}\r\n" +
            "Gypsumroute-Response-Signature: ${RunnerCall.SIGNATURE}\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    val first = call.head["last-event-id"]?.toIntOrNull() ?: 0
    for (event in first + 1..EVENTS) {
        val text = "id: $event\ndata: ${call.id}\n\n"
        call.write("%x\r\n%s\r\n".format(text.length, text))
        Thread.sleep(EVENT_MS)
    }
    call.write("0\r\n\r\n")
}

private fun callRepeatedly(
    setup: Setup,
    gateways: List<Gateway>,
    name: String,
    intervalMs: Long,
    part: String,
    sent: AtomicInteger,
    end: Long
) {
    while (System.nanoTime() < end) {
        val number = sent.incrementAndGet()
        val id = "$name-$number"
        val headers = mapOf(
            "Gypsumroute-Model" to "m",
            "Gypsumroute-Token-Usage" to "5000,800",
            "Gypsumroute-Prompt-Prefix" to promptParts(part, number)
        )
        val gateway = gateways[number % gateways.size]
        val answer = Caller(gateway.callersAddress).use {
            it.call("/write/x", id, deadlineMs = 10_000, headers = headers)
        }
        setup.record.line("$id: ${answer?.head?.status}, complete: ${answer?.complete}")
        Thread.sleep(intervalMs)
    }
}

/** The shared parts, then [part] at its place, then a part of the request itself. */
private fun promptParts(part: String, number: Int): String {
    val before = List(PARTS_BEFORE) { "%08x:40".format(it + 1) }
    return (before + "$part:40" + "%08x:4000".format(OWN_PARTS_BEGIN + number)).joinToString(",")
}

private const val WRITERS = "menu-writer"
private const val CRASHING_PART = "5c1e07a2"
private const val SOUND_PART = "91bd3f06"
private const val PARTS_BEFORE = 16
private const val OWN_PARTS_BEGIN = 0x10000
private const val RUNNERS = 16
private const val READING_MS = 20L
private const val EVENTS = 10
private const val EVENT_MS = 30L
private const val DOWN_MS = 3000L
private const val SOUND_CALLERS = 4
private const val SOUND_INTERVAL_MS = 200L
private const val CRASHING_INTERVAL_MS = 1000L
private const val CALM_MS = 5000L
private const val TOTAL_MS = 60_000L
private const val CRASHES_TO_LEARN = 5
private const val STABILITY_MS = 3000L
private const val ALLOWED_LATE = 3
