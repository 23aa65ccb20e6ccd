package org.gypsumroute.clients

import arrow.core.Either
import java.net.InetAddress
import java.net.ServerSocket
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

/** Guards against repeated calls and against work that ran being reported as not reached. */
class SingleAttemptHttpClientTest {
    private val server = MockWebServer()
    private val timeouts = HttpTimeouts(call = null)
    private val address get() = "127.0.0.1:${server.port}"

    @BeforeTest
    fun start() = server.start(InetAddress.getByName("127.0.0.1"), 0)

    @AfterTest
    fun stop() = server.close()

    @Test
    fun `refused connection is not reached`() {
        val free = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { it.localPort }
        val failure = callAt("127.0.0.1:$free").leftOrNull()
        assertIs<ClientFailure.NotConnected>(failure)
        assertFalse(failure.reached)
    }

    @Test
    fun `reset after the request was written is reached and not repeated`() {
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
    fun `reset on a kept connection is reached and not repeated`() {
        server.enqueue(MockResponse(body = "{}"))
        server.enqueue(MockResponse.Builder().onResponseStart(SocketEffect.CloseSocket()).build())
        server.enqueue(MockResponse(body = "{}"))
        val client = EngineClient(address, timeouts)
        runBlocking {
            client.readState()
            val failure = client.readState().leftOrNull()
            assertIs<ClientFailure.Broken>(failure)
            assertTrue(failure.reached)
        }
        assertEquals(2, server.requestCount)
        client.close()
    }

    @Test
    fun `server errors and redirects are answers and not repeated`() {
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
    fun `proxy status without a proxy is reached and not repeated`() {
        server.enqueue(MockResponse(code = 407))
        assertIs<ClientFailure.Broken>(callAt(address).leftOrNull())
        assertEquals(1, server.requestCount)
    }

    @Test
    fun `reads are not repeated either`() {
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
    fun `body that stops is reached and broken`() {
        server.enqueue(
            MockResponse.Builder().body("x".repeat(1000))
                .onResponseBody(SocketEffect.Stall).build()
        )
        val impatient = HttpTimeouts(read = 200.milliseconds)
        assertIs<ClientFailure.Broken>(callAt(address, impatient).leftOrNull())
        assertEquals(1, server.requestCount)
    }

    @Test
    fun `answer above the limit and answer that is not JSON are malformed`() {
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
        limits: HttpTimeouts = timeouts
    ): Either<ClientFailure, PlainServiceResponse> {
        val client = PlainServiceClient(address, limits)
        return runBlocking { client.call("/print-orders", listOf("order".toByteArray())) }
            .also { client.close() }
    }
}
