/*
 * Case: some runners send bytes that are no answer, without end, in the bodies of a few answers.
 * Requests to another service, whose runner is sound, must still be answered in time.
 */
package standins

import java.io.IOException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val MODELS = "huvo11a"
private const val MODEL_RUNNERS = 4
private const val FAULTY_RUNNERS = 2

/** Of the answers of a faulty runner, one in so many has no end. */
private const val ANSWERS_PER_FAULT = 20
private const val LOAD_SECONDS = 25
private const val STREAMS_PER_SECOND = 16
private const val EVENTS = 5
private const val EVENT_GAP_MS = 20L

/** Bytes without end come at up to 10 MB/s an answer, a twelfth of the gateway's link. */
private const val BLOCK_BYTES = 50_000
private const val BLOCK_INTERVAL_MS = 5L

internal fun endlessAnswer(run: Run): Verdict {
    val faults = AtomicInteger()
    val models = (1..MODEL_RUNNERS).map { modelRunner(run, it, faults) }
    val desk = orderRunner()
    Store().use { store ->
        val streams =
            route("r-dishes", "/lohu930/", "streaming", MODELS, 10_000, 300, 2, resume = true)
        val services = listOf(engineService(MODELS), plainService(ORDER_SERVICE))
        store.put("op/config", configuration(7, listOf(streams, orderRoute), services))
        models.forEach { store.put("servers/${it.id}", it.record(MODELS)) }
        store.put("servers/${desk.id}", desk.record(ORDER_SERVICE, slots = 6))
        Gateway("127.0.0.2", store, run.folder).use { gateway ->
            gateway.start()
            if (!gateway.awaitReady(run.record)) return Verdict.NOT_RUN
            Thread.sleep(1000)
            sendStreams(gateway)
            return judgeOrders(run, gateway, LOAD_SECONDS)
                .also { run.record.line("answers without end: ${faults.get()}") }
        }
    }
}

/** Runner number [number]; the first ones are faulty. */
private fun modelRunner(run: Run, number: Int, faults: AtomicInteger): Runner {
    val answers = AtomicInteger()
    val isFaulty = run.withDisruption && number <= FAULTY_RUNNERS
    return Runner("i-model$number") { request ->
        request.readBody()
        if (isFaulty && answers.incrementAndGet() % ANSWERS_PER_FAULT == 0) {
            val fault = faults.incrementAndGet()
            run.record.line("runner $number answers ${request.id} without end ($fault)")
            answerWithoutEnd(run, request)
        } else {
            answerStream(request)
        }
    }
}

/** Sends streams at a steady rate until the program ends. */
private fun sendStreams(gateway: Gateway) {
    val clients = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val clock = Executors.newScheduledThreadPool(1) { Thread(it).apply { isDaemon = true } }
    val streams = AtomicInteger()
    clock.scheduleAtFixedRate(
        { clients.execute { sendStream(gateway, "5%015x".format(streams.incrementAndGet())) } },
        0,
        1000L / STREAMS_PER_SECOND,
        TimeUnit.MILLISECONDS
    )
}

private fun sendStream(gateway: Gateway, id: String) = try {
    Client(gateway, timeoutMs = 10_000).use { client ->
        client.send(
            "POST /lohu930/2f HTTP/1.1\r\nHost: $HOST_NAME\r\nGypsumroute-Request-Id: $id\r\n" +
                "Gypsumroute-Model: m\r\nGypsumroute-Token-Usage: 4960,1540\r\n" +
                "Gypsumroute-Prompt-Prefix: 5c1e07a2:40,$id:4920\r\n" +
                "Gypsumroute-Deadline-Ms: 10000\r\nGypsumroute-Key: $KEY\r\n" +
                "Content-Length: 10\r\n\r\n0123456789"
        )
        client.drain(10_000)
    }
} catch (_: IOException) {
    // Streams are load only.
}

private fun answerStream(request: RunnerRequest): Boolean {
    request.write(streamHead(request))
    val first = (request.head["Last-Event-Id"]?.toInt() ?: 0) + 1
    for (number in first..EVENTS) {
        request.write(chunk("id: $number\ndata: x\n\n"))
        Thread.sleep(EVENT_GAP_MS)
    }
    request.write("0\r\n\r\n")
    return true
}

/** Sends blank lines, each pair in a chunk of its own, until the gateway closes. */
private fun answerWithoutEnd(run: Run, request: RunnerRequest): Nothing {
    val start = run.record.now
    try {
        request.write(streamHead(request))
        val one = chunk("\n\n")
        val block = one.repeat(BLOCK_BYTES / one.length)
        while (true) {
            request.write(block)
            Thread.sleep(BLOCK_INTERVAL_MS)
        }
    } finally {
        run.record.line("the gateway closed ${request.id} after ${run.record.now - start} ms")
    }
}

private fun streamHead(request: RunnerRequest) =
    "HTTP/1.1 200 OK\r\nGypsumroute-Request-Id: ${request.id}\r\n$SIGNATURE" +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"
