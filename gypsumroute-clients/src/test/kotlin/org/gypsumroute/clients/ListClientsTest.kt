package org.gypsumroute.clients

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RegionId
import org.gypsumroute.test.ConfigurationStandIn
import org.gypsumroute.test.HostListStandIn
import org.gypsumroute.test.ListedHost
import org.gypsumroute.test.PlainServiceStandIn
import org.gypsumroute.test.ServiceMode

/**
 * Guards against changes that a client misses, against an outage that looks like an empty list, and
 * against a call to a plain service that runs twice.
 */
class ListClientsTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val timeouts = HttpTimeouts()
    private val shortTimeouts = HttpTimeouts(call = 800.milliseconds)

    @AfterTest
    fun stop() = resources.forEach { it.close() }

    @Test
    fun `watch reports a change and a read returns the new bytes`() = runBlocking {
        val service = ConfigurationStandIn(mapOf("menu-writer" to byteArrayOf(1))).closedAfterTest()
        val client = ConfigurationClient(service.address, timeouts).closedAfterTest()
        val initial = client.list().getOrNull()!!
        val watch = async(Dispatchers.Default, CoroutineStart.UNDISPATCHED) {
            client.watch(initial.sequence)
        }
        service.publish("menu-writer", byteArrayOf(2))
        val changed = watch.await().getOrNull()!!
        assertEquals(initial.sequence + 1, changed.sequence)
        assertEquals(2, changed.documents.single().version)
        assertContentEquals(byteArrayOf(2), client.read("menu-writer").getOrNull())
        service.serveSnapshot(initial.sequence)
        assertContentEquals(byteArrayOf(1), client.read("menu-writer").getOrNull())
    }

    @Test
    fun `outage is a failure and each client call makes exactly one service call`() = runBlocking {
        val service = ConfigurationStandIn(callsPerSecond = 0).closedAfterTest()
        val client = ConfigurationClient(service.address, timeouts).closedAfterTest()
        assertEquals(429, assertIs<ClientFailure.ErrorStatus>(client.list().leftOrNull()).status)
        assertEquals(1, service.callCount)
        val otherService = ConfigurationStandIn().closedAfterTest()
        val otherClient = ConfigurationClient(otherService.address, timeouts).closedAfterTest()
        otherService.setMode(ServiceMode.UNAVAILABLE)
        assertEquals(
            503,
            assertIs<ClientFailure.ErrorStatus>(otherClient.list().leftOrNull()).status
        )
        otherService.setMode(ServiceMode.HANG)
        val shortTimeoutClient = ConfigurationClient(
            otherService.address,
            shortTimeouts
        ).closedAfterTest()
        assertIs<ClientFailure.Broken>(shortTimeoutClient.list().leftOrNull())
        assertEquals(2, otherService.callCount)
    }

    @Test
    fun `host list is read in full and again when a host is marked as leaving`() = runBlocking {
        val agent = ListedHost(
            host = "agent-1",
            role = "agent",
            region = "bagmati",
            dataCentre = "patan",
            address = "127.0.0.1",
            port = 4000,
            pool = "menu"
        )
        val hosts = HostListStandIn(listOf(agent)).closedAfterTest()
        val client = HostListClient(hosts.address, timeouts).closedAfterTest()
        val initial = client.read().getOrNull()!!
        val record = HostRecord(
            host = HostId("agent-1"),
            role = NodeRole.AGENT,
            region = RegionId("bagmati"),
            dataCentre = DataCentreId("patan"),
            address = "127.0.0.1",
            port = 4000,
            pool = PoolId("menu")
        )
        assertEquals(listOf(record), initial.hosts)
        val changed = async(Dispatchers.Default, CoroutineStart.UNDISPATCHED) {
            client.read(initial.sequence)
        }
        hosts.setLeaving("agent-1", true)
        assertEquals(listOf(record.copy(leaving = true)), changed.await().getOrNull()!!.hosts)
        hosts.setAvailable(false)
        assertTrue(client.read().isLeft())
    }

    @Test
    fun `call whose response is lost runs once and is reported as reached`() = runBlocking {
        val service = PlainServiceStandIn(callTime = 0.milliseconds).closedAfterTest()
        val client = PlainServiceClient(service.address, timeouts).closedAfterTest()
        val response = client.call("/print-orders", listOf("one".toByteArray())).getOrNull()!!
        assertEquals(200, response.status)
        service.loseAnswers(true)
        val shortTimeoutClient = PlainServiceClient(
            service.address,
            shortTimeouts
        ).closedAfterTest()
        val lost = shortTimeoutClient.call(
            "/print-orders",
            listOf("two".toByteArray())
        ).leftOrNull()
        assertTrue(lost!!.reached)
        assertEquals(mapOf("one" to 1, "two" to 1), service.executionCounts)
    }

    private fun <T : AutoCloseable> T.closedAfterTest(): T = also { resources += it }
}
