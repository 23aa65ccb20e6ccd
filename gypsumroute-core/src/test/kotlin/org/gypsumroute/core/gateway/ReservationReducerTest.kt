package org.gypsumroute.core.gateway

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

class ReservationReducerTest {
    private fun GatewayHarness.reserves() = effects.filterIsInstance<ReservationEffect.Reserve>()

    private fun GatewayHarness.releases() =
        effects.filterIsInstance<ReservationEffect.Release>().map { it.reservation }

    private fun harness() = GatewayHarness().apply {
        feed(RuntimeEvent.Started)
        publish(sampleTable, (1..4).map { endpointOf("e$it", service = modelService) })
    }

    private fun GatewayHarness.arriveLong() =
        arrive("1", headOf("/stream/x", prompt = 900_000, deadline = 10.seconds))

    @Test
    fun `the request is sent once all its memory is reserved`() {
        val harness = harness()
        harness.arriveLong()
        val wanted = harness.reserves()
        assertTrue(wanted.size >= 2)
        assertEquals(emptyList(), harness.sends)
        for (reservation in wanted.dropLast(1)) {
            harness.feed(ReservationEvent.Reserved(reservation.reservation))
            assertEquals(emptyList(), harness.sends)
        }
        harness.feed(ReservationEvent.Reserved(wanted.last().reservation))
        val tickets = harness.sends.single().target.helpers.mapNotNull { it.reservation }
        assertEquals(wanted.map { it.reservation }.toSet(), tickets.toSet())
    }

    /** Memory that is set aside and not used is lost to all other requests. */
    @Test
    fun `a refusal gives back what was reserved elsewhere`() {
        val harness = harness()
        harness.arriveLong()
        val wanted = harness.reserves()
        harness.feed(ReservationEvent.Reserved(wanted[0].reservation))
        harness.feed(ReservationEvent.Refused(wanted[1].reservation, "answered 409"))
        assertTrue(harness.releases().containsAll(wanted.map { it.reservation }))
    }

    @Test
    fun `memory is given back on every end of a request`() {
        val ends = listOf<GatewayHarness.() -> Unit>(
            { end("1", AttemptOutcome.Completed(200, Duration.ZERO)) },
            { end("1", AttemptOutcome.Lost("closed")) },
            { feed(ForwardEvent.CallerLeft(RequestId("1"))) },
            { advance(11.seconds) }
        )
        for (end in ends) {
            val harness = harness()
            harness.arriveLong()
            val wanted = harness.reserves()
            wanted.forEach { harness.feed(ReservationEvent.Reserved(it.reservation)) }
            harness.end()
            assertTrue(harness.releases().containsAll(wanted.map { it.reservation }))
        }
    }

    @Test
    fun `a caller that leaves before the memory is reserved has it released`() {
        val harness = harness()
        harness.arriveLong()
        val wanted = harness.reserves()
        harness.feed(ForwardEvent.CallerLeft(RequestId("1")))
        assertTrue(harness.releases().containsAll(wanted.map { it.reservation }))
        harness.feed(ReservationEvent.Reserved(wanted[0].reservation))
        assertEquals(emptyList(), harness.sends)
    }

    /** Reservations are short, so that those of a dead gateway end soon. */
    @Test
    fun `reservations are renewed while their request lasts and not after`() {
        val harness = harness()
        harness.arriveLong()
        val wanted = harness.reserves()
        assertTrue(wanted.all { it.hold == 3.seconds })
        wanted.forEach { harness.feed(ReservationEvent.Reserved(it.reservation)) }
        harness.advance(1001.milliseconds)
        assertEquals(wanted.toSet(), harness.reserves().toSet())
        harness.end("1", AttemptOutcome.Completed(200, Duration.ZERO))
        harness.advance(5.seconds)
        assertEquals(emptyList(), harness.reserves())
    }

    @Test
    fun `after some refusals the request is refused as not run`() {
        val harness = harness()
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

    /** The placement's endpoint was once looked up without a check, which ended the process. */
    @Test
    fun `an endpoint that is gone when its memory is reserved is not sent to`() {
        val harness = harness()
        harness.arriveLong()
        val wanted = harness.reserves()
        val chosen = harness.state.requests.getValue(RequestId("1")).pendingChoice!!.endpoint
        harness.change(PublishedRecord.EndpointRemoved(chosen))
        for (reservation in wanted) {
            harness.feed(ReservationEvent.Reserved(reservation.reservation))
        }
        assertTrue(harness.releases().containsAll(wanted.map { it.reservation }))
        assertTrue(harness.sends.none { it.target.endpoint == chosen })
        assertTrue(harness.reserves().none { it.endpoint == chosen })
    }

    /** An engine whose record is gone may still run and hold the memory. */
    @Test
    fun `memory is given back at an engine whose record is gone`() {
        val harness = harness()
        harness.arriveLong()
        val wanted = harness.reserves()
        harness.change(PublishedRecord.EndpointRemoved(wanted.first().endpoint))
        harness.feed(ForwardEvent.CallerLeft(RequestId("1")))
        assertEquals(
            wanted.map { it.reservation }.toSet(),
            harness.releases().toSet()
        )
    }
}
