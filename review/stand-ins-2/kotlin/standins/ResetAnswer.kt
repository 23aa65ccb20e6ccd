/*
 * Case: a runner begins an answer without a length before it has read the whole request, and
 * crashes. The client must not take the part of the answer for the whole.
 */
package standins

private const val SERVICE = "wuno96b"
private const val REQUESTS = 5
private const val BODY_BYTES = 4_000_000
private const val LINES = 40

/** Time between the two halves of the answer. */
private const val PAUSE_MS = 300L

internal fun resetAnswer(run: Run): Verdict {
    val record = run.record
    val runner = Runner("i-7f3a91c2", receiveBuffer = 16 * 1024) { answer(run, it) }
    Store().use { store ->
        val routes = listOf(
            route("r-orders", "/puxa403/", "unsafe", SERVICE, 10_000, 121, maxAttempts = 1)
        )
        store.put("op/config", configuration(7, routes, listOf(plainService(SERVICE))))
        store.put("servers/${runner.id}", runner.record(SERVICE, slots = 6))
        Gateway("127.0.0.2", store, run.folder).use { gateway ->
            gateway.start()
            if (!gateway.awaitReady(record)) return Verdict.NOT_RUN
            val answers = (1..REQUESTS).map { sendOne(run, gateway, "9c41d07be2a35f0$it") }
            val taken = answers.count { it == Outcome.PART_AS_WHOLE }
            record.line("answers that looked complete but were not: $taken of $REQUESTS")
            return when {
                taken > 0 -> Verdict.BROKEN
                !run.withDisruption && answers.any { it != Outcome.WHOLE } -> Verdict.NOT_RUN
                else -> Verdict.HELD
            }
        }
    }
}

private enum class Outcome { WHOLE, PART_AS_WHOLE, FAILED }

/** Sends an order and returns what the client can tell of its answer. */
private fun sendOne(run: Run, gateway: Gateway, id: String): Outcome {
    val head = "POST /puxa403/2f HTTP/1.1\r\nHost: $HOST_NAME\r\nGypsumroute-Request-Id: $id\r\n" +
        "Gypsumroute-Deadline-Ms: 10000\r\nGypsumroute-Key: $KEY\r\n" +
        "Content-Length: $BODY_BYTES\r\n\r\n"
    Client(gateway).use { client ->
        run.record.line("client sends $id, a body of $BODY_BYTES bytes")
        client.send(head, ByteArray(BODY_BYTES) { 'a'.code.toByte() })
        val answer = client.receive()
        val lines = answer.body?.text.orEmpty().lines().count { it.startsWith("line ") }
        run.record.line(
            "client got $id: status ${answer.status}, $lines of $LINES lines, " +
                "body ${answer.body?.end}"
        )
        val isComplete = answer.status == 200 && answer.body?.end == BodyEnd.COMPLETE
        return when {
            isComplete && lines == LINES -> Outcome.WHOLE
            isComplete -> Outcome.PART_AS_WHOLE
            else -> Outcome.FAILED
        }
    }
}

private fun answer(run: Run, request: RunnerRequest): Boolean {
    request.write(
        "HTTP/1.1 200 OK\r\nGypsumroute-Request-Id: ${request.id}\r\n" +
            "${SIGNATURE}Content-Type: text/plain\r\n\r\n"
    )
    writeLines(request, 1..LINES / 2)
    run.record.line("runner has ${request.id}, wrote ${LINES / 2} of $LINES lines, no length")
    Thread.sleep(PAUSE_MS)
    if (run.withDisruption) {
        // What happens to the sockets of a process that is killed.
        run.record.line("runner crashes: its connection is reset, the request is not read whole")
    } else {
        writeLines(request, LINES / 2 + 1..LINES)
        request.readBody()
        run.record.line("runner wrote all lines of ${request.id}, read the rest and closes")
    }
    request.close()
    return false
}

private fun writeLines(request: RunnerRequest, numbers: IntRange) =
    numbers.forEach { request.write("line $it\n") }
