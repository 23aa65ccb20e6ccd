package org.gypsumroute.core.drain

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.Effect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.EntryHarness

/** Guards against a planned stop that ends accepted requests without a truthful answer. */
class EntryDrainTest {
    private val entry = EntryHarness()

    private fun List<Effect>.failureOf(id: String): Failure =
        filterIsInstance<CallerEffect.Fail>().single { it.request == RequestId(id) }.failure

    private fun List<Effect>.exitCodes() = filterIsInstance<RuntimeEffect.Exit>().map { it.code }

    private fun drain() = entry.feed(RuntimeEvent.DrainRequested)

    private fun reachLimit() = entry.fireTimer(TimerId.DrainLimit)

    @Test
    fun `the limit is reached early enough for the last answers`() {
        val timer = drain().filterIsInstance<RuntimeEffect.SetTimer>()
            .single { it.timer == TimerId.DrainLimit }
        assertEquals(10.minutes - 2.seconds, timer.after)
        assertFalse(drain().any { it is RuntimeEffect.SetTimer && it.timer == TimerId.DrainLimit })
    }

    @Test
    fun `open requests fail at the limit with what is known of their work`() {
        entry.generate("queued")
        entry.generate("dispatched")
        entry.grantFirstLease("dispatched")
        entry.generate("streaming")
        entry.progress(entry.grantFirstLease("streaming"), tokens = 3)
        assertTrue(drain().exitCodes().isEmpty())
        val effects = reachLimit()
        val queued = effects.failureOf("queued")
        assertEquals(ErrorKind.DRAINING to RunState.NOT_RUN, queued.kind to queued.runState)
        assertTrue(queued.retryAfter != null)
        val dispatched = effects.failureOf("dispatched")
        assertEquals(
            ErrorKind.ENDPOINT_LOST to RunState.UNKNOWN,
            dispatched.kind to dispatched.runState
        )
        val streaming = effects.failureOf("streaming")
        assertEquals(ErrorKind.ENDPOINT_LOST to RunState.RAN, streaming.kind to streaming.runState)
        assertTrue(entry.state.leases.isEmpty())
    }

    @Test
    fun `the process ends with exit code 1 when callers have the answers that the limit caused`() {
        entry.generate("queued")
        drain()
        assertTrue(reachLimit().exitCodes().isEmpty())
        val end = entry.feed(CallerEvent.AnswerTaken(RequestId("queued")))
        assertEquals(listOf(1), end.exitCodes())
    }

    @Test
    fun `an answer that is complete is delivered also after the limit`() {
        entry.generate("1")
        val lease = entry.grantFirstLease("1")
        drain()
        entry.complete(lease)
        assertTrue(reachLimit().none { it is CallerEffect.Fail })
        assertEquals(listOf(1), entry.feed(CallerEvent.AnswerTaken(RequestId("1"))).exitCodes())
    }

    @Test
    fun `an entry whose requests end before the limit ends with exit code 0`() {
        entry.generate("1")
        val lease = entry.grantFirstLease("1")
        drain()
        entry.complete(lease)
        assertEquals(listOf(0), entry.feed(CallerEvent.AnswerTaken(RequestId("1"))).exitCodes())
    }

    /** Guards against a draining entry that gives up a request instead of its second attempt. */
    @Test
    fun `a request that was accepted before the stop is still tried at another endpoint`() {
        entry.generate("1")
        drain()
        for (lease in entry.leases("1")) entry.refuse(lease)
        assertTrue(RequestId("1") in entry.state.requests)
    }

    @Test
    fun `a request whose body arrives after the stop began is still admitted`() {
        entry.open("1")
        drain()
        assertEquals(ErrorKind.DRAINING, entry.generate("2").failureOf("2").kind)
        bodyArrives("1")
        assertTrue(entry.leases("1").isNotEmpty())
    }

    /** Such a request was admitted seconds before the limit, which then cut it off. */
    @Test
    fun `a request whose body has not arrived at the limit is refused as not run`() {
        entry.open("1")
        drain()
        val failure = reachLimit().failureOf("1")
        assertEquals(ErrorKind.DRAINING to RunState.NOT_RUN, failure.kind to failure.runState)
        bodyArrives("1")
        assertTrue(entry.leases("1").isEmpty())
        assertEquals(listOf(1), entry.feed(CallerEvent.AnswerTaken(RequestId("1"))).exitCodes())
    }

    private fun bodyArrives(id: String) = entry.feed(
        CallerEvent.GenerationArrived(
            request = RequestId(id),
            service = ServiceId("menu-writer"),
            keyDigest = "digest-1",
            promptTokens = Tokens(100),
            bodyBytes = Bytes(100),
            outputLimit = Tokens(10),
            timeout = 10.seconds,
            prefix = PrefixDigest(7)
        )
    )
}
