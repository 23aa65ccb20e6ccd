/*
 * Callers that open a stream and never read: what the engines and the entry hold for them.
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
        document = ServiceText(slots = 200, initialShare = 1.0)
    )
    val held = Fleet(plan, run.files).start().use { fleet -> stall(fleet) }
    val answer = (0 until TOKENS).sumOf { "t$it ".length }.toDouble()
    return Measurement(
        key = "slow-readers",
        title = "500 stalled readers",
        goal = "no engine memory once generation has ended; entry bytes for each at most the " +
            "answer's bytes plus 4 KiB",
        checks = listOf(
            Check("engine tokens held after generation", held.engineAfter, limit = 0.0),
            Check("entry heap bytes for each reader", held.heapEach, answer + 4_096, "bytes")
        ),
        figures = listOf(
            Figure("engine tokens held", held.engineAfter, held.enginePeak, "tokens"),
            Figure("answer bytes of each reader", answer, null, "bytes"),
            Figure("entry heap for each reader", held.heapEach, held.idleEach, "bytes"),
            Figure("entry resident memory for each reader", held.residentEach, null, "bytes"),
            Figure("kernel send queue for each reader", held.kernelEach, null, "bytes"),
            Figure("readers listed as stalled", held.listed, null, "readers")
        ),
        notes = listOf(
            "Baseline, back pressure to the engine: the tokens that the engines held at the peak " +
                "of generation, which is what they would go on holding if they waited for the " +
                "readers.",
            "1 entry, 4 agents; $READERS callers with a receive buffer of 4 KiB ask for $TOKENS " +
                "tokens each and read nothing. ${held.opened} streams were seen at the engines. " +
                "Heap is what is in use after a full collection, less the same before the " +
                "readers came. Resident memory also counts heap that the JVM took for garbage.",
            "The baseline of the heap is $READERS open connections whose answers of $FEW_TOKENS " +
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
                mapOf("gypsumroute" to listOf(held.heapEach, answer + 4_096))
            )
        )
    )
}

private class Held(
    val enginePeak: Double,
    val engineAfter: Double,
    val heapEach: Double,
    val idleEach: Double,
    val residentEach: Double,
    val kernelEach: Double,
    val listed: Double,
    val opened: Int
)

private fun stall(fleet: Fleet): Held {
    warmUp(fleet, mixOf(shortPart), rate = 60.0, seconds = 5)
    val entry = fleet.entries.single()
    val pid = fleet.process(entry.host).pid
    await("idle engines", 10.seconds) { fleet.agents.all { engineReport(it).first == 0L } }
    val heapBefore = heapInUse(pid)
    val idle = heapOfIdle(fleet, entry.callersPort, pid) - heapBefore
    val residentBefore = residentBytes(pid)
    val sockets = List(READERS) { openStalled(entry.callersPort, it, TOKENS) }
    val seen = mutableSetOf<String>()
    var peak = 0L
    await("end of generation", 90.seconds) {
        val reports = fleet.agents.map { engineReport(it) }
        reports.forEach { seen += it.second }
        peak = maxOf(peak, reports.sumOf { it.first })
        seen.size >= READERS && reports.all { it.second.isEmpty() }
    }
    Thread.sleep(2_000)
    val after = fleet.agents.sumOf { engineReport(it).first }
    val heap = heapInUse(pid) - heapBefore
    val resident = residentBytes(pid) - residentBefore
    File(fleet.process(entry.host).log.parentFile, "entry-heap.txt")
        .writeText(jcmd(pid, "GC.class_histogram"))
    val kernel = sendQueues(entry.callersPort)
    val status = Json.parseToJsonElement(checkNotNull(Http.get(entry.statusUrl))).jsonObject
    val listed = status.getValue("slow_readers").jsonArray.size
    sockets.forEach { it.close() }
    return Held(
        enginePeak = peak.toDouble(),
        engineAfter = after.toDouble(),
        heapEach = heap.toDouble() / READERS,
        idleEach = idle.toDouble() / READERS,
        residentEach = resident.toDouble() / READERS,
        kernelEach = kernel.toDouble() / READERS,
        listed = listed.toDouble(),
        opened = seen.size
    )
}

/** Heap in use with as many open connections whose short answers ended; closes them again. */
private fun heapOfIdle(fleet: Fleet, port: Int, pid: Long): Long {
    val sockets = List(READERS) { openStalled(port, it, FEW_TOKENS) }
    Thread.sleep(2_000)
    await("end of short answers", 30.seconds) { fleet.agents.all { engineReport(it).first == 0L } }
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
    val body = """{"model":"${ServiceText.SERVICE}","stream":true,"max_tokens":$tokens,""" +
        """"prompt":"$prompt"}"""
    val head = listOf(
        "POST /v1/completions HTTP/1.1",
        "Host: ${Fleet.LOOPBACK}:$port",
        "Authorization: Bearer ${ServiceText.KEY}",
        "X-Request-Timeout: 100",
        "Content-Type: application/json",
        "Content-Length: ${body.length}"
    ).joinToString("\r\n", postfix = "\r\n\r\n")
    socket.getOutputStream().write((head + body).encodeToByteArray())
    return socket
}

/** Tokens that an engine holds, and its streams. */
private fun engineReport(agent: Fleet.Agent): Pair<Long, Set<String>> {
    val report = checkNotNull(Http.get("${agent.engineUrl}/state")) { "no report of an engine" }
    val fields = Json.parseToJsonElement(report).jsonObject
    return fields.getValue("used").jsonPrimitive.long to fields.getValue("streams").jsonObject.keys
}

/** Bytes in use of a JVM's heap after a full collection, by the JDK's own tool. */
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

/** Bytes in the kernel's send queues of connections accepted on [port]. */
private fun sendQueues(port: Int): Long {
    val local = ":%04X".format(port)
    return listOf("/proc/net/tcp", "/proc/net/tcp6").sumOf { table ->
        File(table).readLines().drop(1).map { it.trim().split(Regex(" +")) }
            .filter { it[1].endsWith(local) && it[STATE] == ESTABLISHED }
            .sumOf { it[QUEUES].substringBefore(':').toLong(radix = 16) }
    }
}

private const val READERS = 500
private const val TOKENS = 1_000
private const val FEW_TOKENS = 8
private const val STATE = 3
private const val QUEUES = 4
private const val ESTABLISHED = "01"
