/*
 * Events on which a gateway's reducer fails with an exception. Guards against callers that wait
 * until they leave, and against reads and timers that stop for good.
 */
package org.gypsumroute.core.gateway

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Moment
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.gateway.attempts.retryAfter
import org.gypsumroute.core.gateway.placement.ForwardPlacements
import org.gypsumroute.core.reduce
import org.gypsumroute.core.reduceOrRecover

class GatewayRecoveryTest {
    private var placementFails = false
    private var reductionFails = false

    private val harness = GatewayHarness(
        placement = { input ->
            check(!placementFails) { "injected" }
            ForwardPlacements.leastPredictedLoss(input)
        },
        reducer = { state, event ->
            reduceOrRecover(state, event) { before, input ->
                check(!reductionFails) { "injected" }
                reduce(before, input)
            }
        }
    ).apply {
        feed(RuntimeEvent.Started)
        val engines = (1..3).map { endpointOf("m$it", service = modelService) }
        feedSnapshot(sampleTable, listOf(endpointOf("e1"), endpointOf("e2")) + engines)
    }

    private fun logged(): List<LogEvent> =
        harness.effects.filterIsInstance<RuntimeEffect.Log>().map { it.event }

    @Test
    fun `a request that cannot be placed because of an exception is refused as not run`() {
        placementFails = true
        harness.arrive("1")
        val failure = harness.refusals.single().failure
        assertEquals(ErrorKind.INTERNAL_ERROR, failure.kind)
        assertEquals(RunState.NOT_RUN, failure.runState)
        assertTrue(failure.retryAfter != null)
        assertEquals(listOf(LogEvent.EFFECT_FAILED, LogEvent.REQUEST_REFUSED), logged())
        assertTrue(harness.state.requests.isEmpty())
    }

    @Test
    fun `a request whose repeat fails with an exception may have run`() {
        harness.arrive("1")
        placementFails = true
        harness.endAttempt("1", AttemptOutcome.Lost("reset"))
        val failure = harness.refusals.single().failure
        assertEquals(ErrorKind.ENDPOINT_LOST, failure.kind)
        assertEquals(RunState.UNKNOWN, failure.runState)
        assertContains(logged(), LogEvent.REQUEST_FAILED)
        assertTrue(harness.state.endpoints.values.all { it.work.isEmpty() })
    }

    @Test
    fun `a begun answer is cut if the event of its beginning fails`() {
        harness.arrive("1", headOf("/stream/x", prompt = 5_000))
        reductionFails = true
        harness.beginStream("1")
        assertEquals(1, harness.effects.filterIsInstance<ForwardEffect.Cut>().size)
        assertTrue(harness.state.requests.isEmpty())
    }

    @Test
    fun `memory of a request that ends because of an exception is released`() {
        harness.arrive("1", headOf("/stream/x", prompt = 900_000, output = 100))
        val reserved = harness.effects.filterIsInstance<ReservationEffect.Reserve>()
        reductionFails = true
        harness.advance(11.seconds)
        val released = harness.effects.filterIsInstance<ReservationEffect.Release>()
        assertEquals(reserved.map { it.reservation }, released.map { it.reservation })
        assertTrue(reserved.isNotEmpty())
    }

    @Test
    fun `records are read again after a read whose reduction failed`() {
        reductionFails = true
        harness.loseHistory()
        reductionFails = false
        harness.advance(200.milliseconds)
        assertEquals(1, harness.effects.filterIsInstance<PublishedEffect.Read>().size)
    }

    @Test
    fun `a timer whose reduction failed fires again, and time goes on`() {
        reductionFails = true
        harness.advance(5.seconds)
        harness.readClock()
        assertEquals(Moment(5_000), harness.state.common.now)
        reductionFails = false
        val reports = harness.state.exchange.sequence
        harness.advance(2.seconds)
        assertTrue(harness.state.exchange.sequence > reports)
    }
}
