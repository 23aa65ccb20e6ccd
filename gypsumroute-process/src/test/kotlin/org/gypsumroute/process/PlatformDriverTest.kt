package org.gypsumroute.process

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.minutes
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import mockwebserver3.Dispatcher
import mockwebserver3.MockResponse
import mockwebserver3.MockWebServer
import mockwebserver3.RecordedRequest
import mockwebserver3.SocketEffect
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Event
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.RegionId
import org.gypsumroute.runtime.LogFormat

/** The long polls of this platform say nothing more; all other calls are answered. */
class PlatformDriverTest {
    private val polls = ConcurrentLinkedQueue<String>()

    @Volatile
    private var documentVersion = 1
    private val server = MockWebServer().apply {
        dispatcher = object : Dispatcher() {
            override fun dispatch(request: RecordedRequest) = answer(request)
        }
        start()
    }
    private val events = LinkedBlockingQueue<Event>()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val driver = PlatformDriver(settings(), scope) { events += it }

    private fun settings() = NodeSettings(
        host = HostId("entry-1"),
        region = RegionId("r"),
        dataCentre = DataCentreId("a"),
        configurationUrl = "http://${server.hostName}:${server.port}",
        hostListUrl = "http://${server.hostName}:${server.port}",
        sharedKey = SharedKey(ByteArray(SharedKey.MIN_BYTES)),
        logFormat = LogFormat.JSON,
        drainLimit = 1.minutes
    )

    private fun answer(request: RecordedRequest): MockResponse = when (request.target) {
        "/documents" -> MockResponse(
            body = """{"sequence":$documentVersion,"documents":
                [{"name":"d","version":$documentVersion,"etag":"$documentVersion"}]}"""
        )

        "/documents/d" -> MockResponse(body = "version: $documentVersion")

        "/hosts?after=0" -> MockResponse(body = """{"sequence":1,"hosts":[]}""")

        else -> {
            polls += request.target
            MockResponse.Builder().onResponseStart(SocketEffect.Stall).build()
        }
    }

    @AfterTest
    fun close() {
        driver.close()
        scope.cancel()
        server.close()
    }

    private fun nextEvent(): Event? = events.poll(BOUND_SECONDS, TimeUnit.SECONDS)

    /**
     * Guards against documents that take longer than 11 s to be in force, because the connection on
     * which a change is awaited has died without a word.
     */
    @Test
    fun `a document is read in time although the watch gets no answer`() {
        driver.execute(PlatformEffect.ReadDocuments)
        assertIs<PlatformEvent.DocumentRead>(nextEvent())
        assertIs<PlatformEvent.ConfigurationReadEnded>(nextEvent())
        driver.execute(PlatformEffect.WatchDocuments)
        documentVersion = 2
        assertIs<PlatformEvent.DocumentRead>(assertNotNull(nextEvent(), "not read in 11 s"))
        assertEquals(PlatformEvent.ConfigurationReadEnded(true), nextEvent())
    }

    /** Guards against hosts that are known to leave only minutes later, for the same reason. */
    @Test
    fun `the host list is asked for again in time although the poll gets no answer`() {
        driver.execute(PlatformEffect.ReadHosts)
        assertIs<PlatformEvent.HostsRead>(nextEvent())
        driver.execute(PlatformEffect.ReadHosts)
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS)
        while (polls.size < 2 && System.nanoTime() < end) Thread.sleep(POLL_MS)
        assertEquals(listOf("/hosts?after=1", "/hosts?after=1"), polls.toList())
    }

    private companion object {
        /** Time within which a document has to be in force everywhere. */
        const val BOUND_SECONDS = 11L
        const val POLL_MS = 50L
    }
}
