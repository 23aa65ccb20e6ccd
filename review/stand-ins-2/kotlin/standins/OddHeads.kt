/*
 * Case: a few clients send requests of legal size whose heads are made of very many short lines and
 * a long list of connection options. Ordinary clients must still be answered in time.
 */
package standins

import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val ODD_CLIENTS = 80
private const val LOAD_SECONDS = 20

/** The whole head has 15,9xx bytes, less than `max_header_bytes`, 16,384. */
private const val CONNECTION_OPTIONS = 3900
private const val SHORT_LINES = 1950

internal fun oddHeads(run: Run): Verdict {
    val desk = orderRunner()
    Store().use { store ->
        val services = listOf(plainService(ORDER_SERVICE))
        store.put("op/config", configuration(7, listOf(orderRoute), services))
        store.put("servers/${desk.id}", desk.record(ORDER_SERVICE, slots = 6))
        Gateway("127.0.0.2", store, run.folder).use { gateway ->
            gateway.start()
            if (!gateway.awaitReady(run.record)) return Verdict.NOT_RUN
            val answered = AtomicInteger()
            repeat(ODD_CLIENTS) { number ->
                thread(isDaemon = true) { sendRequests(run, gateway, number, answered) }
            }
            Thread.sleep(1000)
            return judgeOrders(run, gateway, LOAD_SECONDS)
                .also { run.record.line("requests of the other clients: ${answered.get()}") }
        }
    }
}

/** Sends one request after the other on a kept connection, each after the answer before it. */
private fun sendRequests(run: Run, gateway: Gateway, number: Int, answered: AtomicInteger) {
    var sent = 0
    while (gateway.process.isAlive) {
        try {
            Client(gateway, timeoutMs = 60_000).use { client ->
                while (true) {
                    val id = "%08x%08x".format(number, ++sent)
                    client.send(headOf(id, isOdd = run.withDisruption) + "order")
                    if (client.receive().status == 0) break
                    answered.incrementAndGet()
                }
            }
        } catch (_: IOException) {
            Thread.sleep(100)
        }
    }
}

private fun headOf(id: String, isOdd: Boolean): String {
    val oddLines = "Connection: " + "a,".repeat(CONNECTION_OPTIONS).dropLast(1) + "\r\n" +
        "b:\r\n".repeat(SHORT_LINES)
    return "POST /puxa403/2f HTTP/1.1\r\nHost: $HOST_NAME\r\n" +
        "Gypsumroute-Request-Id: $id\r\nGypsumroute-Deadline-Ms: 60000\r\n" +
        "Gypsumroute-Key: $KEY\r\nContent-Length: 5\r\n${if (isOdd) oddLines else ""}\r\n"
}
