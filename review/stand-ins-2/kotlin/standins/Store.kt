/*
 * Stand-in of the platform's store: items with one revision counter, range reads and watches.
 */
package standins

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.io.Closeable
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.Executors

/** Serves reads on a free loopback port; [put] writes. */
internal class Store : Closeable {
    private class Change(val key: String, val value: String?, val revision: Long)

    private val lock = Object()
    private val items = TreeMap<String, Change>()
    private val changes = ArrayList<Change>()
    private var revision = 1L
    private val threads = Executors.newCachedThreadPool { work ->
        Thread(work, "store").apply { isDaemon = true }
    }
    private val server =
        HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0).apply {
            executor = threads
            createContext("/v1/kv-range") { serve(it, ::range) }
            createContext("/v1/kv-watch") { serve(it, ::watch) }
            start()
        }
    val port: Int get() = server.address.port

    /** Writes an item, or removes it if [value] is null; the return is the acknowledgement. */
    fun put(key: String, value: String?) = synchronized(lock) {
        val change = Change(key, value, ++revision)
        if (value == null) items.remove(key) else items[key] = change
        changes += change
        lock.notifyAll()
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    private fun serve(exchange: HttpExchange, answer: (Map<String, String>) -> String) =
        exchange.use {
            val query = exchange.requestURI.query.orEmpty().split('&')
                .associate { it.substringBefore('=') to it.substringAfter('=', "") }
            val bytes = answer(query).encodeToByteArray()
            exchange.responseHeaders.add("Content-Type", "application/json")
            exchange.sendResponseHeaders(200, bytes.size.toLong())
            exchange.responseBody.write(bytes)
        }

    private fun range(query: Map<String, String>): String = synchronized(lock) {
        val prefix = query["prefix"].orEmpty()
        val found = items.tailMap(query["after"].orEmpty(), false).values
            .filter { it.key.startsWith(prefix) }
        """{"items":[${found.joinToString(",", transform = ::json)}],""" +
            """"has_more":false,"at":$revision}"""
    }

    private fun watch(query: Map<String, String>): String = synchronized(lock) {
        val prefix = query["prefix"].orEmpty()
        val after = query.getValue("after").toLong()
        val end = System.nanoTime() + query.getValue("wait_ms").toLong() * 1_000_000
        var newer = changesAfter(prefix, after)
        while (newer.isEmpty()) {
            val rest = (end - System.nanoTime()) / 1_000_000
            if (rest <= 0) break
            lock.wait(rest)
            newer = changesAfter(prefix, after)
        }
        """{"events":[${newer.joinToString(",", transform = ::json)}],"at":$revision}"""
    }

    private fun changesAfter(prefix: String, after: Long) =
        changes.filter { it.revision > after && it.key.startsWith(prefix) }

    private fun json(change: Change): String {
        val start = """{"key":"${change.key}","revision":${change.revision},"""
        if (change.value == null) return start + """"deleted":true}"""
        val value = Base64.getEncoder().encodeToString(change.value.encodeToByteArray())
        return start + """"created":${change.revision},"lease":0,"value":"$value"}"""
    }
}
