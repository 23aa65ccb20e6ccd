package org.gypsumroute.clients

import arrow.core.Either
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.runBlocking
import mockwebserver3.MockResponse
import mockwebserver3.MockWebServer
import mockwebserver3.SocketEffect
import okhttp3.Request
import org.gypsumroute.api.LeaseId

/**
 * Guards against calls that are sent twice, and against a failure that claims the server was not
 * reached although the work may have run.
 */
class SingleAttemptHttpClientTest {
    private val server = MockWebServer()
    private val timeouts = HttpTimeouts(call = null)
    private val address get() = "127.0.0.1:${server.port}"

    @BeforeTest
    fun start() = server.start(InetAddress.getByName("127.0.0.1"), 0)

    @AfterTest
    fun stop() = server.close()

    @Test
    fun `refused connection counts as not reached`() {
        val unusedPort = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { it.localPort }
        val failure = callAt("127.0.0.1:$unusedPort").leftOrNull()
        assertIs<ClientFailure.NotConnected>(failure)
        assertFalse(failure.reached)
    }

    @Test
    fun `call reset after the request was written counts as reached and is not repeated`() {
        for (effect in listOf(SocketEffect.ShutdownConnection, SocketEffect.CloseSocket())) {
            server.enqueue(MockResponse.Builder().onResponseStart(effect).build())
            server.enqueue(MockResponse(body = "second"))
            val before = server.requestCount
            assertIs<ClientFailure.Broken>(callAt(address).leftOrNull())
            assertEquals(1, server.requestCount - before)
            callAt(address)
        }
    }

    @Test
    fun `call reset on a reused connection counts as reached and is not repeated`() {
        server.enqueue(MockResponse(body = "{}"))
        server.enqueue(MockResponse.Builder().onResponseStart(SocketEffect.CloseSocket()).build())
        server.enqueue(MockResponse(body = "{}"))
        val client = SingleAttemptHttpClient(timeouts, idleConnections = 1)
        runBlocking {
            client.call(requestTo(address), MAX_BYTES)
            val failure = client.call(requestTo(address), MAX_BYTES).leftOrNull()
            assertIs<ClientFailure.Broken>(failure)
            assertTrue(failure.reached)
        }
        assertEquals(2, server.requestCount)
        client.close()
    }

    /** Guards against an answer that a faulty server writes twice, which shifts all later ones. */
    @Test
    fun `a second answer on a connection does not answer the next call`() {
        ServerSocket(0, 5, InetAddress.getByName("127.0.0.1")).use { listener ->
            thread(isDaemon = true) { answerWithExtra(listener) }
            val client = SingleAttemptHttpClient(timeouts)
            val answers = runBlocking {
                List(3) {
                    client.call(requestTo("127.0.0.1:${listener.localPort}"), MAX_BYTES)
                        .getOrNull()?.text
                }
            }
            client.close()
            assertEquals(listOf("answer 1", "answer 2", "answer 3"), answers)
        }
    }

    /** Numbers the requests of all connections, and answers each with its number and once more. */
    private fun answerWithExtra(listener: ServerSocket) {
        val requests = AtomicInteger()
        while (true) {
            val socket = runCatching { listener.accept() }.getOrNull() ?: return
            thread(isDaemon = true) { runCatching { answerAll(socket, requests) } }
        }
    }

    private fun answerAll(socket: Socket, requests: AtomicInteger) {
        val output = socket.getOutputStream()
        socket.getInputStream().bufferedReader().lineSequence()
            .filter { it.isEmpty() }
            .forEach {
                val body = "answer ${requests.incrementAndGet()}"
                val answer = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"
                output.write((answer + answer).encodeToByteArray())
            }
    }

    /** The write that failed was passed over, and the reset then looked like a close. */
    @Test
    fun `an answer that is reset while its request is written is broken`() {
        for (head in listOf("", "Connection: close\r\n")) {
            val answer = "HTTP/1.1 200 OK\r\n$head\r\npart"
            assertIs<ClientFailure.Broken>(callWithEarlyAnswer(answer), answer)
        }
    }

    /** Guards against answers that are dropped because their server did not need the request. */
    @Test
    fun `an answer with its whole length counts although its request cannot be written`() {
        val answer = "HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno"
        assertEquals("no", callWithEarlyAnswer(answer))
    }

    /** Such a status was returned, and passed on to the caller of the service. */
    @Test
    fun `an answer with a status that HTTP does not know is malformed`() {
        for (status in listOf("000", "001", "099", "101", "600", "999")) {
            val answer = "HTTP/1.1 $status Odd\r\nContent-Length: 2\r\n\r\nno"
            assertIs<ClientFailure.Malformed>(callWithEarlyAnswer(answer), status)
        }
    }

    /** Returns the body that a client gets, or else the failure, if [answer] comes early. */
    private fun callWithEarlyAnswer(answer: String): Any? {
        val listener = ServerSocket()
        listener.receiveBufferSize = RECEIVE_BUFFER_BYTES
        listener.bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
        return listener.use {
            thread(isDaemon = true) {
                val socket = listener.accept()
                socket.getInputStream().read()
                socket.getOutputStream().write(answer.encodeToByteArray())
                Thread.sleep(PAUSE_MS)
                // Closing a connection with unread bytes resets it.
                socket.close()
            }
            val client = PlainServiceClient("127.0.0.1:${listener.localPort}", timeouts)
            val outcome = runBlocking { client.call("/orders", listOf(ByteArray(BODY_BYTES))) }
            client.close()
            outcome.fold({ it }, { it.body.decodeToString() })
        }
    }

    private fun requestTo(address: String) =
        Request.Builder().url(urlBuilderFor(address, "/").build()).build()

    @Test
    fun `server errors and redirects are returned as responses and not repeated`() {
        val statuses = listOf(301, 302, 307, 308, 401, 408, 421, 500, 503)
        for (status in statuses) {
            val response = MockResponse.Builder().code(status)
                .setHeader("Location", "/elsewhere").setHeader("Retry-After", "0").build()
            server.enqueue(response)
            assertEquals(status, callAt(address).getOrNull()?.status)
        }
        assertEquals(statuses.size, server.requestCount)
    }

    @Test
    fun `proxy status without a proxy counts as reached and is not repeated`() {
        server.enqueue(MockResponse(code = 407))
        assertIs<ClientFailure.Broken>(callAt(address).leftOrNull())
        assertEquals(1, server.requestCount)
    }

    @Test
    fun `reads with a redirect or error status are not repeated`() {
        val client = ConfigurationClient(address, timeouts)
        for (status in listOf(302, 408, 421, 503)) {
            val response = MockResponse.Builder().code(status)
                .setHeader("Location", "/elsewhere").setHeader("Retry-After", "0").build()
            server.enqueue(response)
            val failure = runBlocking { client.list() }.leftOrNull()
            assertEquals(status, assertIs<ClientFailure.ErrorStatus>(failure).status)
        }
        assertEquals(4, server.requestCount)
        client.close()
    }

    @Test
    fun `call whose response body stalls is broken and not repeated`() {
        server.enqueue(
            MockResponse.Builder().body("x".repeat(1000))
                .onResponseBody(SocketEffect.Stall).build()
        )
        val shortTimeouts = HttpTimeouts(read = 200.milliseconds)
        assertIs<ClientFailure.Broken>(callAt(address, shortTimeouts).leftOrNull())
        assertEquals(1, server.requestCount)
    }

    @Test
    fun `response above the limit and response with unexpected JSON are malformed`() {
        server.enqueue(MockResponse(body = "x".repeat(101)))
        val service = PlainServiceClient(address, timeouts, maxResponseBytes = 100)
        val failure = runBlocking { service.call("/", emptyList()) }.leftOrNull()
        assertIs<ClientFailure.Malformed>(failure)
        server.enqueue(MockResponse(body = "{\"hosts\": 7}"))
        val hosts = HostListClient(address, timeouts)
        assertIs<ClientFailure.Malformed>(runBlocking { hosts.read() }.leftOrNull())
        service.close()
        hosts.close()
    }

    private fun callAt(
        address: String,
        callTimeouts: HttpTimeouts = timeouts
    ): Either<ClientFailure, PlainServiceResponse> {
        val client = PlainServiceClient(address, callTimeouts)
        return runBlocking { client.call("/print-orders", listOf("order".toByteArray())) }
            .also { client.close() }
    }

    /**
     * Guards against a stream of an engine that breaks off and counts as complete, and against text
     * that overflows the stack of the thread that reads it.
     */
    @Test
    fun `an engine's stream without an end has broken off`() {
        val chunk = """{"chunk":0,"text":"a","tokens":1}""" + "\n"
        val deep = "[".repeat(100_000)
        val bodies = listOf(
            chunk,
            chunk + """{"end":1,"tok""",
            chunk + """{"end":1,"tokens":1}""",
            chunk + """{"end":1e99,"tokens":1}""" + "\n",
            "$chunk$deep\n",
            chunk + """{"chunk":$deep}""" + "\n",
            chunk + """{"new":$deep}""" + "\n"
        )
        val client = EngineClient(address)
        for (body in bodies) {
            server.enqueue(unframed(body))
            val events = LinkedBlockingQueue<EngineStreamEvent>()
            client.resume(LeaseId("1"), 0) { events += it }
            assertIs<EngineStreamEvent.Chunk>(events.poll(5, TimeUnit.SECONDS), body.take(60))
            assertIs<EngineStreamEvent.Failed>(events.poll(5, TimeUnit.SECONDS), body.take(60))
        }
        server.enqueue(unframed(chunk + """{"end":1,"new":{"a":[[1]]}}""" + "\n"))
        val events = LinkedBlockingQueue<EngineStreamEvent>()
        client.resume(LeaseId("1"), 0) { events += it }
        assertIs<EngineStreamEvent.Chunk>(events.poll(5, TimeUnit.SECONDS))
        assertIs<EngineStreamEvent.Ended>(events.poll(5, TimeUnit.SECONDS))
        client.close()
    }

    /** Guards against a deeply nested entry that ends the reads of the host list. */
    @Test
    fun `a deeply nested host list is a failure`() = runBlocking {
        val hosts = HostListClient(address, timeouts)
        val deep = "[".repeat(100_000)
        for (body in listOf(deep, """{"hosts":$deep""", """{"sequence":1,"new":$deep""")) {
            server.enqueue(MockResponse(body = body))
            assertIs<ClientFailure.Malformed>(hosts.read().leftOrNull())
        }
        hosts.close()
    }

    /** A response that ends with its connection. */
    private fun unframed(body: String) = MockResponse.Builder()
        .body(body)
        .removeHeader("Content-Length")
        .onResponseEnd(SocketEffect.ShutdownConnection)
        .build()

    private companion object {
        const val MAX_BYTES = 1024L
        const val PAUSE_MS = 200L

        /** More than the kernel's buffers take. */
        const val BODY_BYTES = 8_000_000
        const val RECEIVE_BUFFER_BYTES = 16 * 1024
    }
}
