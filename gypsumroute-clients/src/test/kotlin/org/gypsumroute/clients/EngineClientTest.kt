package org.gypsumroute.clients

import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.runBlocking
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.ModelId
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens
import org.gypsumroute.test.EngineFaults
import org.gypsumroute.test.EngineSettings
import org.gypsumroute.test.EngineStandIn

/**
 * Guards against generated text that is lost or delivered twice, and against cancels and releases
 * that count as done although the engine still holds the memory.
 */
class EngineClientTest {
    private val settings = EngineSettings(
        decodeInterval = 2.milliseconds,
        memoryTokens = 10_000,
        cacheEventLag = 0.milliseconds
    )
    private val engine = EngineStandIn(settings)
    private val otherEngine = EngineStandIn(settings)
    private val timeouts = HttpTimeouts()
    private val client = EngineClient(engine.address, timeouts)
    private val lease = LeaseId("entry-1/7/1")

    @AfterTest
    fun stop() = listOf(client, engine, otherEngine).forEach { it.close() }

    @Test
    fun `text continues from the last token of the prompt and can be read again from any chunk`() {
        val events = open(lease, "Once t41 ", output = 5)
        assertEquals("t42 t43 t44 t45 t46 ", textOf(events))
        assertEquals(EngineStreamEvent.Ended(5, Tokens(5)), events.last())
        val resumed = collect { client.resume(lease, 3, it) }
        assertEquals("t45 t46 ", textOf(resumed))
        assertEquals(3, assertIs<EngineStreamEvent.Chunk>(resumed.first()).number)
    }

    @Test
    fun `stream continues while nothing reads it`() {
        val queue = LinkedBlockingQueue<EngineStreamEvent>()
        val stream = client.open(request(lease, "x", output = 40)) { queue += it }
        queue.poll(5, TimeUnit.SECONDS)
        stream.stopReading()
        val resumed = collect { client.resume(lease, 1, it) }
        assertEquals((1..39).joinToString("") { "t$it " }, textOf(resumed))
    }

    /** By default OkHttp opens only five calls to a host at once and queues the others. */
    @Test
    fun `many open streams do not delay another call`() = runBlocking {
        val largeEngine = EngineStandIn(settings.copy(memoryTokens = 100_000_000))
        val client = EngineClient(largeEngine.address, timeouts)
        val count = 40
        val started = CountDownLatch(count)
        val openStreams = (1..count).map {
            val longRequest = request(LeaseId("w$it"), "x", output = 1_000_000)
            client.open(longRequest) { event ->
                if (event is EngineStreamEvent.Chunk && event.number == 0) started.countDown()
            }
        }
        assertTrue(started.await(10, TimeUnit.SECONDS))
        assertEquals("t0 ", textOf(collect { client.open(request(lease, "x", output = 1), it) }))
        openStreams.forEach { it.stopReading() }
        client.close()
        largeEngine.close()
    }

    @Test
    fun `confirmed cancel frees everything and a lost cancel is a failure`() = runBlocking {
        val queue = LinkedBlockingQueue<EngineStreamEvent>()
        client.open(request(lease, "x", output = 100_000)) { queue += it }
        queue.poll(5, TimeUnit.SECONDS)
        engine.setFaults(EngineFaults(lostCancels = 1))
        val shortTimeoutClient = EngineClient(engine.address, HttpTimeouts(call = 800.milliseconds))
        assertIs<ClientFailure.Broken>(shortTimeoutClient.cancel(lease).leftOrNull())
        shortTimeoutClient.close()
        assertTrue(lease.value in engine.state.streams)
        assertTrue(client.cancel(lease).isRight())
        assertEquals(0, engine.state.usedTokens)
        val afterCancel = collect { client.resume(lease, 0, it) }.single()
        val failure = assertIs<EngineStreamEvent.Failed>(afterCancel).failure
        assertEquals(404, assertIs<ClientFailure.ErrorStatus>(failure).status)
    }

    @Test
    fun `another engine can import an exported cache until its release`() = runBlocking {
        val exported = open(lease, "x".repeat(4000), output = 1, export = true).single()
        val handle = assertIs<EngineStreamEvent.Exported>(exported).handle
        assertEquals(SegmentHandle(handle.handle, engine.address, Tokens(1000)), handle)
        val otherClient = EngineClient(otherEngine.address, timeouts)
        val importing = request(lease, "y t3 ", output = 2, imports = listOf(handle))
        assertEquals("t4 t5 ", textOf(collect { otherClient.open(importing, it) }))
        assertEquals(1000, engine.state.usedTokens)
        assertTrue(client.release(handle.handle).isRight())
        assertEquals(0, engine.state.usedTokens)
        val afterRelease = request(LeaseId("l2"), "y", output = 2, imports = listOf(handle))
        val last = collect { otherClient.open(afterRelease, it) }.single()
        val refused = assertIs<EngineStreamEvent.Failed>(last)
        assertEquals(424, assertIs<ClientFailure.ErrorStatus>(refused.failure).status)
        otherClient.close()
    }

    @Test
    fun `restart of an overloaded engine fails the stream and shows in the state`() = runBlocking {
        val before = client.readState().getOrNull()!!.state
        val failed = open(lease, "x".repeat(40_004), output = 1).single()
        assertIs<ClientFailure.Broken>(assertIs<EngineStreamEvent.Failed>(failed).failure)
        val after = client.readState().getOrNull()!!.state
        assertTrue(before.incarnation != after.incarnation)
        assertEquals(Tokens.ZERO, after.usedMemory)
    }

    @Test
    fun `orders carry their fencing number and cache events carry their digests`() = runBlocking {
        open(lease, "x".repeat(8192), output = 1)
        assertEquals(2, client.cacheEvents(0).getOrNull()!!.single().added.size)
        assertEquals(emptyList(), client.cacheEvents(1).getOrNull())
        val model = EngineModel(ModelId("menu-model"), null, "2")
        assertTrue(client.load(model, FencingNumber(5)).isRight())
        val stale = client.changeRole("prefill", FencingNumber(4)).leftOrNull()
        assertEquals(409, assertIs<ClientFailure.ErrorStatus>(stale).status)
        val state = client.readState().getOrNull()!!.state
        assertEquals(model, state.loaded)
        assertEquals(FencingNumber(5), state.highestFencing)
    }

    private fun textOf(events: List<EngineStreamEvent>): String =
        events.filterIsInstance<EngineStreamEvent.Chunk>()
            .joinToString("") { it.text.decodeToString() }

    private fun open(lease: LeaseId, prompt: String, output: Long, export: Boolean = false) =
        collect { client.open(request(lease, prompt, output, export = export), it) }

    private fun request(
        lease: LeaseId,
        prompt: String,
        output: Long,
        imports: List<SegmentHandle> = emptyList(),
        export: Boolean = false
    ) = EngineStreamRequest(
        lease = lease,
        prompt = listOf(prompt.toByteArray()),
        outputLimit = Tokens(output),
        priority = 0,
        imports = imports,
        export = export
    )

    private fun collect(
        start: ((EngineStreamEvent) -> Unit) -> EngineStream
    ): List<EngineStreamEvent> {
        val queue = LinkedBlockingQueue<EngineStreamEvent>()
        start { queue += it }
        return generateSequence { queue.poll(5, TimeUnit.SECONDS) }
            .takeWhileInclusive { it is EngineStreamEvent.Chunk }
    }

    private fun Sequence<EngineStreamEvent>.takeWhileInclusive(
        shouldContinue: (EngineStreamEvent) -> Boolean
    ): List<EngineStreamEvent> {
        val events = mutableListOf<EngineStreamEvent>()
        for (event in this) {
            events += event
            if (!shouldContinue(event)) break
        }
        return events
    }
}
