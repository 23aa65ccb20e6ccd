/*
 * A stand-in of the platform's store: reads of all items and watches, from memory.
 */
package review

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.io.IOException
import java.net.InetSocketAddress
import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** What the store does with one call. */
enum class StoreAnswer { SERVED, LOST, BUSY }

/** The items of the store and its history of [HISTORY_SECONDS]. Machines reach it by doors. */
class StoreStandIn {
    private class Change(val key: String, val value: String?, val revision: Long) {
        val madeAt: Long = System.nanoTime()
    }

    private val lock = Object()
    private val items = TreeMap<String, Change>()
    private val changes = ArrayList<Change>()
    private var revision = 1L
    private var cuts = 0

    /** Cuts all watches that are waiting. */
    fun cutWatches() = synchronized(lock) {
        cuts++
        lock.notifyAll()
    }

    /** Writes an item, or removes it if [value] is null. Its return is the acknowledgement. */
    fun put(key: String, value: String?) = synchronized(lock) {
        val change = Change(key, value, ++revision)
        if (value == null) items.remove(key) else items[key] = change
        changes += change
        lock.notifyAll()
    }

    private fun page(exchange: HttpExchange): String = synchronized(lock) {
        val after = parameter(exchange, "after")
        val rest = (after?.let { items.tailMap(it, false) } ?: items).values
        val page = rest.take(PAGE_ITEMS).joinToString(",") { json(it) }
        """{"items":[$page],"has_more":${rest.size > PAGE_ITEMS},"at":$revision}"""
    }

    /** Returns null if the history since the revision is no longer there. */
    private fun watch(exchange: HttpExchange): String? {
        val after = parameter(exchange, "after")!!.toLong()
        val end = System.currentTimeMillis() + parameter(exchange, "wait_ms")!!.toLong()
        synchronized(lock) {
            val cutsBefore = cuts
            while (revision <= after && System.currentTimeMillis() < end && cuts == cutsBefore) {
                lock.wait((end - System.currentTimeMillis()).coerceAtLeast(1))
            }
            if (cuts > cutsBefore) throw IOException("the watch is cut")
            val newer = changes.filter { it.revision > after }
            val oldest = System.nanoTime() - TimeUnit.SECONDS.toNanos(HISTORY_SECONDS)
            if (newer.any { it.madeAt < oldest }) return null
            val events = newer.joinToString(",") { json(it) }
            return """{"events":[$events],"at":$revision}"""
        }
    }

    private fun parameter(exchange: HttpExchange, name: String): String? =
        exchange.requestURI.query.orEmpty().split('&')
            .find { it.startsWith("$name=") }?.substringAfter('=')

    private fun json(change: Change): String {
        val value = change.value
            ?: return """{"key":"${change.key}","revision":${change.revision},"deleted":true}"""
        val encoded = Base64.getEncoder().encodeToString(value.encodeToByteArray())
        return """{"key":"${change.key}","value":"$encoded","revision":${change.revision},
            "created":${change.revision},"lease":0}"""
    }

    /** The address at which one machine reaches the store. */
    inner class Door : AutoCloseable {
        private val executor =
            Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
        private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), BACKLOG)

        /** Decides about each call of this machine. */
        @Volatile
        var policy: () -> StoreAnswer = { StoreAnswer.SERVED }

        init {
            server.executor = executor
            server.createContext("/v1/kv-range") { serve(it) { page(it) } }
            server.createContext("/v1/kv-watch") { serve(it) { watch(it) } }
            server.start()
        }

        val address: String get() = "127.0.0.1:${server.address.port}"

        override fun close() {
            server.stop(0)
            executor.shutdownNow()
        }

        private fun serve(exchange: HttpExchange, answer: () -> String?) = try {
            val body = answer()
            when (policy()) {
                StoreAnswer.SERVED -> respond(exchange, if (body == null) GONE else OK, body)
                StoreAnswer.BUSY -> respond(exchange, BUSY, null)
                // The connection returns nothing further; the thread waits until the case ends.
                StoreAnswer.LOST -> Thread.sleep(Long.MAX_VALUE)
            }
        } catch (exception: IOException) {
            exchange.close()
        }

        private fun respond(exchange: HttpExchange, status: Int, body: String?) {
            val bytes = body?.encodeToByteArray() ?: ByteArray(0)
            exchange.responseHeaders["Content-Type"] = "application/json"
            exchange.sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }
    }

    private companion object {
        const val HISTORY_SECONDS = 20L
        const val BACKLOG = 100
        const val PAGE_ITEMS = 500
        const val OK = 200
        const val GONE = 410
        const val BUSY = 503
    }
}
