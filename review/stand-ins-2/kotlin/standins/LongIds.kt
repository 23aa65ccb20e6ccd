/*
 * Case: some clients send requests of legal size with a long request id of quotation marks. The
 * gateway's process must not end, and orders of ordinary clients must not be lost.
 */
package standins

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val ORDER_RUNNERS = 3
private const val ORDER_SLOTS = 6

private const val STATUS_CLIENTS = 47
private const val ORDER_CLIENTS = 12
private const val LOAD_SECONDS = 40

/** With the rest of the head, less than `max_header_bytes`, 16,384. */
private const val ID_LENGTH = 15_900

private const val ORDER_WORK_MS = 400L
private const val STATUS_WORK_MS = 20L

/** What became of the orders. */
private class Orders {
    val passedOn: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val answered = AtomicInteger()

    /** Orders on kept connections that ended without an answer. */
    val unanswered: MutableSet<String> = ConcurrentHashMap.newKeySet()
}

internal fun longIds(run: Run): Verdict {
    val record = run.record
    val orders = Orders()
    val desks = (1..ORDER_RUNNERS).map { orderDesk("i-desk$it", orders) }
    Store().use { store ->
        val routes = listOf(
            route("r-orders", "/puxa403/", "unsafe", ORDER_SERVICE, 10_000, 121, maxAttempts = 1),
            route("r-status", "/cufi504/", "safe", ORDER_SERVICE, 10_000, 121, maxAttempts = 2)
        )
        store.put("op/config", configuration(7, routes, listOf(plainService(ORDER_SERVICE))))
        desks.forEach { store.put("servers/${it.id}", it.record(ORDER_SERVICE, ORDER_SLOTS)) }
        Gateway("127.0.0.2", store, run.folder).use { gateway ->
            gateway.start()
            if (!gateway.awaitReady(record)) return Verdict.NOT_RUN
            val served = AtomicInteger()
            keepSending(gateway, ORDER_CLIENTS) { client, id, isKept ->
                sendOrder(run, client, id, isKept, orders)
            }
            Thread.sleep(2000)
            record.line("$STATUS_CLIENTS more clients begin, long ids: ${run.withDisruption}")
            keepSending(gateway, STATUS_CLIENTS) { client, id, _ ->
                askStatus(client, if (run.withDisruption) id.padEnd(ID_LENGTH, '"') else id)
                    .also { if (it) served.incrementAndGet() }
            }
            for (second in 1..LOAD_SECONDS) {
                Thread.sleep(1000)
                if (!gateway.process.isAlive) break
            }
            Thread.sleep(1000)
            record.line("status requests answered: ${served.get()}")
            return judge(run, gateway, orders)
        }
    }
}

private fun judge(run: Run, gateway: Gateway, orders: Orders): Verdict {
    val record = run.record
    val ended = !gateway.process.isAlive
    val lost = orders.unanswered.filter { it in orders.passedOn }
    record.line("orders answered: ${orders.answered.get()}")
    if (ended) {
        record.line("the gateway ended by itself with code ${gateway.process.exitValue()}")
        gateway.logFile().useLines { lines ->
            lines.filter { !it.startsWith("{") }.forEach { record.line("its output: $it") }
        }
    }
    lost.forEach { record.line("order $it was passed on to a runner and has no answer") }
    record.line("orders lost on kept connections: ${lost.size}; the process ended by itself: $ended")
    return if (ended && lost.size > 3) Verdict.BROKEN else Verdict.HELD
}

/**
 * Starts [count] clients, each with one kept connection on which it sends one request after the
 * other by [exchange], which returns whether the connection goes on.
 */
private fun keepSending(
    gateway: Gateway,
    count: Int,
    exchange: (client: Client, id: String, isKept: Boolean) -> Boolean
) = repeat(count) {
    thread(isDaemon = true) {
        while (gateway.process.isAlive) {
            try {
                Client(gateway).use { client ->
                    var isKept = false
                    while (exchange(client, nextId(), isKept)) isKept = true
                }
            } catch (_: IOException) {
                Thread.sleep(100)
            }
        }
    }
}

private val lastId = AtomicInteger()

private fun nextId() = "5%015x".format(lastId.incrementAndGet())

private fun headOf(start: String, id: String, more: String = "") =
    "$start HTTP/1.1\r\nHost: $HOST_NAME\r\nGypsumroute-Request-Id: $id\r\n" +
        "Gypsumroute-Deadline-Ms: 10000\r\nGypsumroute-Key: $KEY\r\n$more\r\n"

private fun sendOrder(
    run: Run,
    client: Client,
    id: String,
    isKept: Boolean,
    orders: Orders
): Boolean {
    client.send(headOf("POST /puxa403/2f", id, "Content-Length: 5\r\n") + "order")
    val isAnswered = client.receive().status != 0
    if (isAnswered) {
        orders.answered.incrementAndGet()
    } else {
        run.record.line("order $id: the connection ended, kept before: $isKept")
        if (isKept) orders.unanswered += id
    }
    return isAnswered
}

private fun askStatus(client: Client, id: String): Boolean {
    client.send(headOf("GET /cufi504/2f", id))
    return client.receive().status != 0
}

/** A sound runner of the service for orders, which runs so many requests at a time. */
private fun orderDesk(id: String, orders: Orders): Runner {
    val slots = Semaphore(ORDER_SLOTS)
    return Runner(id) { request ->
        request.readBody()
        val isOrder = request.method == "POST"
        if (isOrder) orders.passedOn += request.id
        slots.acquire()
        Thread.sleep(if (isOrder) ORDER_WORK_MS else STATUS_WORK_MS)
        slots.release()
        request.write(
            "HTTP/1.1 200 OK\r\nGypsumroute-Request-Id: ${request.id}\r\n$SIGNATURE" +
                "Content-Length: 2\r\n\r\nok"
        )
        true
    }
}
