package org.gypsumroute.process

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
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

/**
 * A host list whose sequence goes back without a failed call, as behind a load balancer, or that
 * answers polls at once. Guards against the fault of gateways whose store came back from an older
 * copy: a position of before is taken for the present one, or asked for without a pause.
 */
class PlatformReturnTest {
    private val quietPolls = AtomicInteger()

    @Volatile
    private var sequence = 43L

    /** Whether polls without a change are answered at once, instead of after some time. */
    @Volatile
    private var answersAtOnce = false

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

    private fun answer(request: RecordedRequest): MockResponse {
        val after = request.url.queryParameter("after")!!.toLong()
        if (after < sequence) return MockResponse(body = """{"sequence":$sequence,"hosts":[]}""")
        quietPolls.incrementAndGet()
        return if (answersAtOnce) {
            MockResponse(code = 204)
        } else {
            MockResponse.Builder().onResponseStart(SocketEffect.Stall).build()
        }
    }

    @AfterTest
    fun close() {
        driver.close()
        scope.cancel()
        server.close()
    }

    private fun readFirst() {
        driver.execute(PlatformEffect.ReadHosts)
        assertIs<PlatformEvent.HostsRead>(events.poll(BOUND_SECONDS, TimeUnit.SECONDS))
    }

    @Test
    fun `a host list that goes back is read again in time`() {
        readFirst()
        sequence = 7
        driver.execute(PlatformEffect.ReadHosts)
        assertIs<PlatformEvent.HostsRead>(events.poll(BOUND_SECONDS, TimeUnit.SECONDS))
    }

    @Test
    fun `a host list that answers at once is not asked without a pause`() {
        answersAtOnce = true
        readFirst()
        driver.execute(PlatformEffect.ReadHosts)
        assertEquals(null, events.poll(1, TimeUnit.SECONDS))
        val polls = quietPolls.get()
        assertTrue(polls <= MAX_POLLS, "$polls polls in 1 s")
    }

    private companion object {
        /** Time of one poll without an answer, 8 s, and of the next read. */
        const val BOUND_SECONDS = 11L

        /** One each 100 ms, the shortest pause between reads of the store that bring nothing. */
        const val MAX_POLLS = 10
    }
}
