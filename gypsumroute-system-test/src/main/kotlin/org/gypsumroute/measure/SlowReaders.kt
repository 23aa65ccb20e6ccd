/*
 * Measures the memory that engines and the entry hold for callers that open a stream and never
 * read it.
 */
package org.gypsumroute.measure

import java.io.File
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

internal fun measureSlowReaders(run: MeasureRun): Measurement {
    val plan = FleetPlan(
        entries = 1,
        document = ServiceDocumentText(slotsPerEndpoint = 200, initialShare = 1.0)
    )
    val held = Fleet(plan, run.files).start().use { fleet -> runStalledReaders(fleet) }
    val answerBytes = (0 until TOKENS).sumOf { "t$it ".length }.toDouble()
    return Measurement(
        key = "slow-readers",
        title = "500 stalled readers",
        goal = "no engine memory once generation has ended; entry bytes for each at most the " +
            "answer's bytes plus 4 KiB",
        checks = listOf(
            Check("engine tokens held after generation", held.engineTokensAfter, limit = 0.0),
            Check(
                "entry heap bytes for each reader",
                held.heapPerReader,
                answerBytes + 4_096,
                "bytes"
            )
        ),
        figures = listOf(
            Figure("engine tokens held", held.engineTokensAfter, held.engineTokensPeak, "tokens"),
            Figure("answer bytes of each reader", answerBytes, null, "bytes"),
            Figure(
                "entry heap for each reader",
                held.heapPerReader,
                held.idleHeapPerReader,
                "bytes"
            ),
            Figure("entry resident memory for each reader", held.residentPerReader, null, "bytes"),
            Figure("kernel send queue for each reader", held.sendQueuePerReader, null, "bytes"),
            Figure("readers listed as stalled", held.listedAsStalled, null, "readers")
        ),
        notes = listOf(
            "Baseline, back pressure to the engine: the tokens that the engines held at the peak " +
                "of generation, which is what they would go on holding if they waited for the " +
                "readers.",
            "1 entry, 4 agents; $READERS callers with a receive buffer of 4 KiB ask for $TOKENS " +
                "tokens each and read nothing. ${held.opened} streams were seen at the engines. " +
                "Heap is what is in use after a full collection, less the same before the " +
                "readers came. Resident memory also counts heap that the JVM took for garbage.",
            "The baseline of the heap is $READERS open connections whose answers of $IDLE_TOKENS " +
                "tokens ended: what the HTTP server keeps for a connection as such.",
            "The kernel's send queue holds what the entry has written; only the rest is held " +
                "by the entry."
        ),
        plots = listOf(
            Plot.Bars(
                "slow-readers",
                "Memory of the entry for each stalled reader",
                "bytes",
                listOf("heap", "goal"),
                mapOf("gypsumroute" to listOf(held.heapPerReader, answerBytes + 4_096))
            )
        )
    )
}

private class StalledReaderUsage(
    val engineTokensPeak: Double,
    val engineTokensAfter: Double,
    val heapPerReader: Double,
    val idleHeapPerReader: Double,
    val residentPerReader: Double,
    val sendQueuePerReader: Double,
    val listedAsStalled: Double,
    val opened: Int
)

private fun runStalledReaders(fleet: Fleet): StalledReaderUsage {
    warmUp(fleet, loadProfileOf(shortPromptMix), rate = 60.0, seconds = 5)
    val entry = fleet.entries.single()
    val pid = fleet.process(entry.host).pid
    awaitUntil("idle engines", 10.seconds) { fleet.agents.all { engineReport(it).first == 0L } }
    val heapBefore = heapInUse(pid)
    val idleHeap = heapOfIdleConnections(fleet, entry.callersPort, pid) - heapBefore
    val residentBefore = residentBytes(pid)
    val sockets = List(READERS) { openStalled(entry.callersPort, it, TOKENS) }
    val seenStreams = mutableSetOf<String>()
    var peakTokens = 0L
    awaitUntil("end of generation", 90.seconds) {
        val reports = fleet.agents.map { engineReport(it) }
        reports.forEach { seenStreams += it.second }
        peakTokens = maxOf(peakTokens, reports.sumOf { it.first })
        seenStreams.size >= READERS && reports.all { it.second.isEmpty() }
    }
    Thread.sleep(2_000)
    val tokensAfter = fleet.agents.sumOf { engineReport(it).first }
    val heapGrowth = heapInUse(pid) - heapBefore
    val residentGrowth = residentBytes(pid) - residentBefore
    File(fleet.process(entry.host).log.parentFile, "entry-heap.txt")
        .writeText(jcmd(pid, "GC.class_histogram"))
    val sendQueueBytes = sendQueues(entry.callersPort)
    val status = Json.parseToJsonElement(checkNotNull(Http.get(entry.statusUrl))).jsonObject
    val listedAsStalled = status.getValue("slow_readers").jsonArray.size
    sockets.forEach { it.close() }
    return StalledReaderUsage(
        engineTokensPeak = peakTokens.toDouble(),
        engineTokensAfter = tokensAfter.toDouble(),
        heapPerReader = heapGrowth.toDouble() / READERS,
        idleHeapPerReader = idleHeap.toDouble() / READERS,
        residentPerReader = residentGrowth.toDouble() / READERS,
        sendQueuePerReader = sendQueueBytes.toDouble() / READERS,
        listedAsStalled = listedAsStalled.toDouble(),
        opened = seenStreams.size
    )
}

/**
 * Heap in use while [READERS] connections are open whose short answers have ended. Closes the
 * connections afterwards.
 */
private fun heapOfIdleConnections(fleet: Fleet, port: Int, pid: Long): Long {
    val sockets = List(READERS) { openStalled(port, it, IDLE_TOKENS) }
    Thread.sleep(2_000)
    awaitUntil("end of short answers", 30.seconds) {
        fleet.agents.all { engineReport(it).first == 0L }
    }
    Thread.sleep(1_000)
    val heap = heapInUse(pid)
    sockets.forEach { it.close() }
    Thread.sleep(1_000)
    return heap
}

private fun openStalled(port: Int, number: Int, tokens: Int): Socket {
    val socket = Socket().apply { receiveBufferSize = 4_096 }
    socket.connect(InetSocketAddress(Fleet.LOOPBACK, port))
    val prompt = "reader $number ".padEnd(4_000, 'x')
    val body = """{"model":"${ServiceDocumentText.SERVICE}","stream":true,"max_tokens":$tokens,""" +
        """"prompt":"$prompt"}"""
    val head = listOf(
        "POST /v1/completions HTTP/1.1",
        "Host: ${Fleet.LOOPBACK}:$port",
        "Authorization: Bearer ${ServiceDocumentText.KEY}",
        "X-Request-Timeout: 100",
        "Content-Type: application/json",
        "Content-Length: ${body.length}"
    ).joinToString("\r\n", postfix = "\r\n\r\n")
    socket.getOutputStream().write((head + body).encodeToByteArray())
    return socket
}

/** Number of tokens that an engine holds, and the ids of its streams. */
private fun engineReport(agent: Fleet.Agent): Pair<Long, Set<String>> {
    val report = checkNotNull(Http.get("${agent.engineUrl}/state")) { "no report of an engine" }
    val fields = Json.parseToJsonElement(report).jsonObject
    return fields.getValue("used").jsonPrimitive.long to fields.getValue("streams").jsonObject.keys
}

/** Bytes in use on a JVM's heap after a full collection, as the JDK's `jcmd` reports them. */
private fun heapInUse(pid: Long): Long {
    jcmd(pid, "GC.run")
    val spaces = jcmd(pid, "GC.heap_info").lines()
        .filter { "generation" in it && "total" in it }
    check(spaces.isNotEmpty()) { "the heap of process $pid cannot be read" }
    return spaces.sumOf { line ->
        val used = checkNotNull(Regex("used (\\d+)K").find(line)) { line }
        used.groupValues[1].toLong() * 1024
    }
}

private fun jcmd(pid: Long, command: String): String {
    val process = ProcessBuilder("jcmd", "$pid", command).redirectErrorStream(true).start()
    return process.inputStream.bufferedReader().readText().also { process.waitFor() }
}

/** Bytes in the kernel's send queues of the established connections on local port [port]. */
private fun sendQueues(port: Int): Long {
    val local = ":%04X".format(port)
    return listOf("/proc/net/tcp", "/proc/net/tcp6").sumOf { table ->
        File(table).readLines().drop(1).map { it.trim().split(Regex(" +")) }
            .filter { it[1].endsWith(local) && it[STATE_FIELD] == ESTABLISHED }
            .sumOf { it[QUEUES_FIELD].substringBefore(':').toLong(radix = 16) }
    }
}

private const val READERS = 500

/** Output tokens that each stalled reader asks for. */
private const val TOKENS = 1_000

/** Output tokens of the answers that end before the heap of idle connections is read. */
private const val IDLE_TOKENS = 8

/** Fields and a state code of /proc/net/tcp. */
private const val STATE_FIELD = 3
private const val QUEUES_FIELD = 4
private const val ESTABLISHED = "01"
