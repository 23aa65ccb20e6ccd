package org.gypsumroute.core.gateway.attempts

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.sampleTable

class ReservationReducerTest {
    private fun GatewayHarness.reserves() = effects.filterIsInstance<ReservationEffect.Reserve>()

    private fun GatewayHarness.releases() =
        effects.filterIsInstance<ReservationEffect.Release>().map { it.reservation }

    private fun fourEngineHarness() = GatewayHarness().apply {
        feed(RuntimeEvent.Started)
        feedSnapshot(sampleTable, (1..4).map { endpointOf("e$it", service = modelService) })
    }

    private fun GatewayHarness.arriveLong() =
        arrive("1", headOf("/stream/x", prompt = 900_000, deadline = 10.seconds))

    @Test
    fun `a request is sent once all its memory is reserved`() {
        val harness = fourEngineHarness()
        harness.arriveLong()
        val requested = harness.reserves()
        assertTrue(requested.size >= 2)
        assertEquals(emptyList(), harness.sends)
        for (reservation in requested.dropLast(1)) {
            harness.feed(ReservationEvent.Reserved(reservation.reservation))
            assertEquals(emptyList(), harness.sends)
        }
        harness.feed(ReservationEvent.Reserved(requested.last().reservation))
        val named = harness.sends.single().target.helpers.mapNotNull { it.reservation }
        assertEquals(requested.map { it.reservation }.toSet(), named.toSet())
    }

    /** Guards against memory that stays reserved without use and is not available to others. */
    @Test
    fun `a refusal releases the memory reserved at other engines`() {
        val harness = fourEngineHarness()
        harness.arriveLong()
        val requested = harness.reserves()
        harness.feed(ReservationEvent.Reserved(requested[0].reservation))
        harness.feed(ReservationEvent.Refused(requested[1].reservation, "answered 409"))
        assertTrue(harness.releases().containsAll(requested.map { it.reservation }))
    }

    @Test
    fun `memory is released whichever way a request ends`() {
        val ends = listOf<GatewayHarness.() -> Unit>(
            { endAttempt("1", AttemptOutcome.Completed(200, Duration.ZERO)) },
            { endAttempt("1", AttemptOutcome.Lost("closed")) },
            { feed(ForwardEvent.CallerLeft(RequestId("1"))) },
            { advance(11.seconds) }
        )
        for (endRequest in ends) {
            val harness = fourEngineHarness()
            harness.arriveLong()
            val requested = harness.reserves()
            requested.forEach { harness.feed(ReservationEvent.Reserved(it.reservation)) }
            harness.endRequest()
            assertTrue(harness.releases().containsAll(requested.map { it.reservation }))
        }
    }

    @Test
    fun `memory is released if the caller leaves before all of it is reserved`() {
        val harness = fourEngineHarness()
        harness.arriveLong()
        val requested = harness.reserves()
        harness.feed(ForwardEvent.CallerLeft(RequestId("1")))
        assertTrue(harness.releases().containsAll(requested.map { it.reservation }))
        harness.feed(ReservationEvent.Reserved(requested[0].reservation))
        assertEquals(emptyList(), harness.sends)
    }

    /** Reservations hold for a short time, so that those of a crashed gateway end soon. */
    @Test
    fun `reservations are renewed until their request ends`() {
        val harness = fourEngineHarness()
        harness.arriveLong()
        val requested = harness.reserves()
        assertTrue(requested.all { it.hold == 3.seconds })
        requested.forEach { harness.feed(ReservationEvent.Reserved(it.reservation)) }
        harness.advance(1001.milliseconds)
        assertEquals(requested.toSet(), harness.reserves().toSet())
        harness.endAttempt("1", AttemptOutcome.Completed(200, Duration.ZERO))
        harness.advance(5.seconds)
        assertEquals(emptyList(), harness.reserves())
    }

    /** Each new reservation put the renewal of all off, so that engines dropped memory in use. */
    @Test
    fun `reservations are renewed although new ones are made all the time`() {
        val harness = fourEngineHarness()
        harness.arriveLong()
        val first = harness.reserves().first().reservation
        var renewedAt = harness.now
        repeat(12) { number ->
            harness.advance(500.milliseconds)
            if (harness.reserves().any { it.reservation == first }) renewedAt = harness.now
            assertTrue(harness.now - renewedAt < 3.seconds, "not renewed for 3 s")
            harness.feed(ForwardEvent.CallerLeft(RequestId("n${number - 1}")))
            val head = headOf("/stream/x", prompt = 600_000, deadline = 10.seconds)
            harness.arrive("n$number", head)
            assertTrue(harness.reserves().isNotEmpty())
        }
    }

    @Test
    fun `after three refused choices the request is refused as not run`() {
        val harness = fourEngineHarness()
        harness.arriveLong()
        repeat(3) {
            harness.reserves().firstOrNull()?.let {
                harness.feed(ReservationEvent.Refused(it.reservation, "answered 409"))
            }
        }
        val failure = harness.refusals.single().failure
        assertEquals(ErrorKind.OVERLOADED, failure.kind)
        assertEquals(RunState.NOT_RUN, failure.runState)
    }

    /** Guards against a crash: the chosen endpoint was looked up without a check that it exists. */
    @Test
    fun `a request is not sent to an endpoint that was removed during the reservation`() {
        val harness = fourEngineHarness()
        harness.arriveLong()
        val requested = harness.reserves()
        val chosen = harness.state.requests.getValue(RequestId("1")).pendingChoice!!.endpoint
        harness.feedChanges(PublishedRecord.EndpointRemoved(chosen))
        for (reservation in requested) {
            harness.feed(ReservationEvent.Reserved(reservation.reservation))
        }
        assertTrue(harness.releases().containsAll(requested.map { it.reservation }))
        assertTrue(harness.sends.none { it.target.endpoint == chosen })
        assertTrue(harness.reserves().none { it.endpoint == chosen })
    }

    /** An engine whose record was removed may still run and hold the memory. */
    @Test
    fun `memory is released at an engine whose record was removed`() {
        val harness = fourEngineHarness()
        harness.arriveLong()
        val requested = harness.reserves()
        harness.feedChanges(PublishedRecord.EndpointRemoved(requested.first().endpoint))
        harness.feed(ForwardEvent.CallerLeft(RequestId("1")))
        assertEquals(
            requested.map { it.reservation }.toSet(),
            harness.releases().toSet()
        )
    }
}
