/*
 * Orders of ordinary clients, sent at a steady rate while something else goes wrong.
 */
package standins

import java.io.IOException
import java.util.Collections
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val ORDER_TIMEOUT_MS = 600L
private const val ORDERS_PER_SECOND = 3

/** Time that the clients wait for an answer. */
private const val CLIENT_WAIT_MS = 3000

/** Fewer orders that are late tell nothing. */
private const val LEAST_UNANSWERED = 8
private const val ORDER_WORK_MS = 20L

internal val orderRoute = route(
    "r-orders", "/puxa403/", "unsafe", ORDER_SERVICE, ORDER_TIMEOUT_MS.toInt(),
    latencyMs = 121, maxAttempts = 1
)

/** A sound runner of the service for orders. */
internal fun orderRunner() = Runner("i-desk") { request ->
    request.readBody()
    Thread.sleep(ORDER_WORK_MS)
    request.write(
        "HTTP/1.1 200 OK\r\nGypsumroute-Request-Id: ${request.id}\r\n$SIGNATURE" +
            "Content-Length: 2\r\n\r\nok"
    )
    true
}

/** Sends orders for [seconds] and judges the times of their answers. */
internal fun judgeOrders(run: Run, gateway: Gateway, seconds: Int): Verdict {
    val times = Collections.synchronizedList(ArrayList<Long?>())
    val clients = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val clock = Executors.newScheduledThreadPool(1) { Thread(it).apply { isDaemon = true } }
    val orders = AtomicInteger()
    clock.scheduleAtFixedRate(
        {
            val id = "f%015x".format(orders.incrementAndGet())
            clients.execute { times += sendOrder(run, gateway, id) }
        },
        0,
        1000L / ORDERS_PER_SECOND,
        TimeUnit.MILLISECONDS
    )
    Thread.sleep(seconds * 1000L)
    clock.shutdownNow()
    Thread.sleep(CLIENT_WAIT_MS + 500L)
    return judge(run, gateway, times.toList())
}

/** [times] are milliseconds until the final answers; null stands for none. */
private fun judge(run: Run, gateway: Gateway, times: List<Long?>): Verdict {
    val unanswered = times.filter { it == null || it > ORDER_TIMEOUT_MS }
    val late = unanswered.count { it == null || it > ORDER_TIMEOUT_MS + 500 }
    run.record.line(
        "orders: ${times.size}, unanswered after $ORDER_TIMEOUT_MS ms: ${unanswered.size}, of " +
            "these without an answer half a second later: $late; " +
            "process alive: ${gateway.process.isAlive}"
    )
    val isBroken = unanswered.size >= LEAST_UNANSWERED && late * 2 > unanswered.size
    return if (isBroken) Verdict.BROKEN else Verdict.HELD
}

/** Returns the milliseconds until the answer of an order, or null if there was none. */
private fun sendOrder(run: Run, gateway: Gateway, id: String): Long? = try {
    Client(gateway, CLIENT_WAIT_MS).use { client ->
        val start = run.record.now
        client.send(
            "POST /puxa403/2f HTTP/1.1\r\nHost: $HOST_NAME\r\nGypsumroute-Request-Id: $id\r\n" +
                "Gypsumroute-Deadline-Ms: $CLIENT_WAIT_MS\r\nGypsumroute-Key: $KEY\r\n" +
                "Content-Length: 5\r\n\r\norder"
        )
        val answer = client.receive()
        val took = run.record.now - start
        run.record.line("order $id: status ${answer.status} after $took ms")
        took.takeIf { answer.status != 0 }
    }
} catch (failure: IOException) {
    run.record.line("order $id: ${failure.message}")
    null
}
