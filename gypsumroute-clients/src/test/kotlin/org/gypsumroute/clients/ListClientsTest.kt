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

/** Guards against missed changes, against an outage taken for an empty list, and double runs. */
class ListClientsTest {
    private val opened = mutableListOf<AutoCloseable>()
    private val timeouts = HttpTimeouts()
    private val impatience = HttpTimeouts(call = 800.milliseconds)

    @AfterTest
    fun stop() = opened.forEach { it.close() }

    @Test
    fun `watch reports a change and reading gives its bytes`() = runBlocking {
        val service = ConfigurationStandIn(mapOf("menu-writer" to byteArrayOf(1))).opened()
        val client = ConfigurationClient(service.address, timeouts).opened()
        val first = client.list().getOrNull()!!
        val watch = async(Dispatchers.Default, CoroutineStart.UNDISPATCHED) {
            client.watch(first.sequence)
        }
        service.publish("menu-writer", byteArrayOf(2))
        val changed = watch.await().getOrNull()!!
        assertEquals(first.sequence + 1, changed.sequence)
        assertEquals(2, changed.documents.single().version)
        assertContentEquals(byteArrayOf(2), client.read("menu-writer").getOrNull())
        service.serveSnapshot(first.sequence)
        assertContentEquals(byteArrayOf(1), client.read("menu-writer").getOrNull())
    }

    @Test
    fun `outage is a failure and each call counts against the limit`() = runBlocking {
        val service = ConfigurationStandIn(callsPerSecond = 0).opened()
        val client = ConfigurationClient(service.address, timeouts).opened()
        assertEquals(429, assertIs<ClientFailure.ErrorStatus>(client.list().leftOrNull()).status)
        assertEquals(1, service.calls)
        val other = ConfigurationStandIn().opened()
        val cut = ConfigurationClient(other.address, timeouts).opened()
        other.setMode(ServiceMode.UNAVAILABLE)
        assertEquals(503, assertIs<ClientFailure.ErrorStatus>(cut.list().leftOrNull()).status)
        other.setMode(ServiceMode.HANG)
        val impatient = ConfigurationClient(other.address, impatience).opened()
        assertIs<ClientFailure.Broken>(impatient.list().leftOrNull())
        assertEquals(2, other.calls)
    }

    @Test
    fun `host list is read in full and again when a host leaves`() = runBlocking {
        val listed = ListedHost(
            host = "agent-1",
            role = "agent",
            region = "bagmati",
            dataCentre = "patan",
            address = "127.0.0.1",
            port = 4000,
            pool = "menu"
        )
        val hosts = HostListStandIn(listOf(listed)).opened()
        val client = HostListClient(hosts.address, timeouts).opened()
        val first = client.read().getOrNull()!!
        val record = HostRecord(
            host = HostId("agent-1"),
            role = NodeRole.AGENT,
            region = RegionId("bagmati"),
            dataCentre = DataCentreId("patan"),
            address = "127.0.0.1",
            port = 4000,
            pool = PoolId("menu")
        )
        assertEquals(listOf(record), first.hosts)
        val next = async(Dispatchers.Default, CoroutineStart.UNDISPATCHED) {
            client.read(first.sequence)
        }
        hosts.setLeaving("agent-1", true)
        assertEquals(listOf(record.copy(leaving = true)), next.await().getOrNull()!!.hosts)
        hosts.setUp(false)
        assertTrue(client.read().isLeft())
    }

    @Test
    fun `call whose answer is lost ran once and is reported as reached`() = runBlocking {
        val service = PlainServiceStandIn(callTime = 0.milliseconds).opened()
        val client = PlainServiceClient(service.address, timeouts).opened()
        val answer = client.call("/print-orders", listOf("one".toByteArray())).getOrNull()!!
        assertEquals(200, answer.status)
        service.loseAnswers(true)
        val impatient = PlainServiceClient(service.address, impatience).opened()
        val lost = impatient.call("/print-orders", listOf("two".toByteArray())).leftOrNull()
        assertTrue(lost!!.reached)
        assertEquals(mapOf("one" to 1, "two" to 1), service.ledger)
    }

    private fun <T : AutoCloseable> T.opened(): T = also { opened += it }
}
