/*
 * Two cases: a part of prompts crashes each runner that begins to answer it.
 */
package review

import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * The crashing part stands behind sixteen others. The rule is broken if more than three requests
 * with it reach runners later than the stability window after the fifth crash.
 */
fun lateCrashingPart(setup: Setup): Boolean {
    val traffic = CrashTraffic(setup, partsBefore = 16, intervalMs = 1000, totalMs = 60_000)
    traffic.run()
    val late = traffic.arrivalsAfter(traffic.boundBeginsAt)
    setup.record.line("${traffic.crashes.size} crashes; $late requests with the part came too late")
    return late <= ALLOWED_LATE
}

/**
 * All gateways are killed at once after the fifth crash, and once more later. The rule is broken if
 * more than three requests with the part reach runners while the new processes are in touch.
 */
fun crashingPartAndKill(setup: Setup): Boolean {
    val traffic = CrashTraffic(setup, partsBefore = 1, intervalMs = 4000, totalMs = 96_000)
    val begin = System.nanoTime()
    val kills = KILLS_AT_MS.map { begin + it * 1_000_000 }
    val operator = thread {
        for (kill in kills) {
            Thread.sleep((kill - System.nanoTime()) / 1_000_000)
            if (setup.trouble) killAll(setup, traffic)
        }
    }
    traffic.run()
    operator.join()
    if (setup.trouble && traffic.boundBeginsAt > kills[0]) throw CaseCannotRun("too few crashes")
    val untouched = (RESTART_MS + START_MS + STABILITY_MS) * 1_000_000
    val late = traffic.arrivalsBetween(kills[0] + untouched, kills[1]) +
        traffic.arrivalsAfter(kills[1] + untouched)
    setup.record.line("${traffic.crashes.size} crashes; $late requests with the part came too late")
    return late <= ALLOWED_LATE
}

private fun killAll(setup: Setup, traffic: CrashTraffic) {
    setup.record.line("all gateways are killed; ${traffic.crashes.size} crashes so far")
    traffic.gateways.forEach { it.close() }
    Thread.sleep(RESTART_MS)
    traffic.gateways.forEach { it.start() }
    traffic.gateways.forEach { it.awaitReady() }
    setup.record.line("all gateways are ready again")
}

/**
 * Sound streams at a steady rate, and a request with the crashing part each [intervalMs]. That part
 * stands behind [partsBefore] shared ones.
 */
private class CrashTraffic(
    private val setup: Setup,
    private val partsBefore: Int,
    private val intervalMs: Long,
    private val totalMs: Long
) {
    /** Moments at which runners crashed. */
    val crashes = CopyOnWriteArrayList<Long>()
    private val runners = ArrayList<RunnerStandIn>()
    private val sent = AtomicInteger()

    /** The gateways, ready to serve. */
    val gateways: List<Gateway>

    init {
        repeat(RUNNERS) { index ->
            runners += RunnerStandIn("i-$index", WRITERS, slots = 11) { answer(index, it) }
        }
        runners.forEach { setup.store.put("servers/${it.id}", it.entry()) }
        val resumable = ""","stream_resume":true,"target_gap_ms":200"""
        val route =
            RouteEntry("w", "/write/", "streaming", WRITERS, DEADLINE_MS, 300, 2, resumable)
        setup.store.put(
            "op/config",
            configuration(1, listOf(route), listOf(WRITERS), engines = setOf(WRITERS))
        )
        gateways = setup.gateways(GATEWAYS)
    }

    /** The moment from which on the rule counts, or the latest one if there were too few crashes. */
    val boundBeginsAt: Long
        get() = crashes.getOrNull(CRASHES_TO_LEARN - 1)?.let { it + STABILITY_MS * 1_000_000 }
            ?: Long.MAX_VALUE

    /** Each request with the part that reaches a runner crashes it. */
    fun arrivalsAfter(moment: Long): Int = arrivalsBetween(moment, Long.MAX_VALUE)

    fun arrivalsBetween(begin: Long, end: Long): Int = crashes.count { it in begin..<end }

    fun run() {
        val end = System.nanoTime() + totalMs * 1_000_000
        val soundCallers = List(SOUND_CALLERS) { number ->
            thread { callRepeatedly("sound-$number", SOUND_PART, end) { SOUND_INTERVAL_MS } }
        }
        Thread.sleep(CALM_MS)
        val part = if (setup.trouble) CRASHING_PART else SOUND_PART
        callRepeatedly("crashing", part, end) {
            if (crashes.size < CRASHES_OF_FIRST_BLOCK) FIRST_INTERVAL_MS else intervalMs
        }
        soundCallers.forEach { it.join() }
    }

    private fun answer(index: Int, call: RunnerCall) {
        setup.record.ran(call.id, "i-$index")
        val parts = call.head["gypsumroute-prompt-prefix"].orEmpty().split(',')
            .map { it.substringBefore(':') }
        Thread.sleep(READING_MS)
        if (CRASHING_PART in parts.dropLast(1)) {
            crashes += System.nanoTime()
            setup.record.line("runner i-$index crashes on ${call.id}")
            runners[index].crash()
            thread(isDaemon = true) { comeBack(runners[index]) }
        } else {
            stream(call)
        }
    }

    private fun comeBack(runner: RunnerStandIn) {
        Thread.sleep(DOWN_MS)
        runner.restart()
        setup.store.put("servers/${runner.id}", runner.entry())
    }

    private fun callRepeatedly(name: String, part: String, end: Long, interval: () -> Long) {
        while (System.nanoTime() < end) {
            val number = sent.incrementAndGet()
            val headers = mapOf(
                "Gypsumroute-Model" to "m",
                "Gypsumroute-Token-Usage" to "5000,800",
                "Gypsumroute-Prompt-Prefix" to promptParts(part, number)
            )
            val answer = call(gateways[number % gateways.size], "$name-$number", headers)
            setup.record.line("$name-$number: ${answer?.head?.status}, ${answer?.complete}")
            Thread.sleep(interval())
        }
    }

    private fun call(gateway: Gateway, id: String, headers: Map<String, String>): Answer? = try {
        Caller(gateway.callersAddress).use {
            it.call("/write/x", id, DEADLINE_MS, headers = headers)
        }
    } catch (exception: IOException) {
        null
    }

    /** The shared parts, then [part] at its place, then a part of the request itself. */
    private fun promptParts(part: String, number: Int): String {
        val before = List(partsBefore) { "%08x:40".format(it + 1) }
        val own = "%08x:4000".format(OWN_PARTS_BEGIN + number)
        return (before + "$part:40" + own).joinToString(",")
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
        val text = "id: $event\ndata: ${call.id}\n\n"
        call.write("%x\r\n%s\r\n".format(text.length, text))
        Thread.sleep(EVENT_MS)
    }
    call.write("0\r\n\r\n")
}

private const val WRITERS = "menu-writer"
private const val CRASHING_PART = "5c1e07a2"
private const val SOUND_PART = "91bd3f06"
private const val OWN_PARTS_BEGIN = 0x10000
private const val RUNNERS = 16
private const val GATEWAYS = 3
private const val DEADLINE_MS = 10_000
private const val READING_MS = 20L
private const val EVENTS = 10
private const val EVENT_MS = 30L
private const val DOWN_MS = 3000L
private const val SOUND_CALLERS = 4
private const val SOUND_INTERVAL_MS = 200L
private const val CALM_MS = 4000L

/** The interval until so many crashes have come that the gateways refuse the part. */
private const val FIRST_INTERVAL_MS = 1000L
private const val CRASHES_OF_FIRST_BLOCK = 4
private val KILLS_AT_MS = listOf(51_000L, 71_000L)
private const val RESTART_MS = 1000L

/** Longest time from the start of the processes until they are ready. */
private const val START_MS = 3000L
private const val CRASHES_TO_LEARN = 5
private const val STABILITY_MS = 3000L
private const val ALLOWED_LATE = 3
