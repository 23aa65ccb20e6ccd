package org.gypsumroute.core.gateway.exchange

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.SettingsEvent
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.attempts.knownLoad
import org.gypsumroute.core.gateway.attempts.placementInputFor
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom
import org.gypsumroute.core.gateway.sampleBounds

class ExchangeReducerTest {
    private val peer = EndpointAddress("10.0.0.2", 7000)
    private val other = EndpointAddress("10.0.0.3", 7000)

    private fun report(
        sequence: Long,
        loads: Map<EndpointId, EngineLoad> = emptyMap(),
        members: List<EndpointAddress> = emptyList(),
        incarnation: String = "1"
    ) = reportFrom(peer.host, sequence, incarnation, loads = loads, members = members)

    private fun GatewayHarness.reports() = effects.filterIsInstance<ExchangeEffect.SendReport>()

    private fun GatewayHarness.knownLoad(): EngineLoad {
        arrive("probe", headOf("/stream/x", prompt = 100))
        return placementInputFor(
            state,
            state.requests.values.last().copy(triedEndpoints = noEndpoints)
        ).candidates
            .single().load
    }

    private fun GatewayHarness.backlog() =
        state.endpoints.getValue(EndpointId("e1")).backlog.advancedTo(now).total

    /** Guards against work that is missed or counted twice because a report was lost. */
    @Test
    fun `work sent between two reports is added once`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        fun load(readSeconds: Int) = mapOf(
            EndpointId("e1") to EngineLoad(
                openRequests = 1,
                pendingPrefill = 5.seconds,
                totalPrefillSent = readSeconds.seconds,
                totalHelperPrefillSent = 1.seconds
            )
        )
        harness.feed(report(1, load(10)))
        assertEquals(5.seconds, harness.backlog())
        harness.feed(report(2, load(12)))
        assertEquals(7.seconds, harness.backlog())
        harness.feed(report(3))
        harness.feed(report(5, load(13)))
        assertEquals(8.seconds, harness.backlog())
    }

    private val noEndpoints = persistentSetOf<EndpointId>()

    @Test
    fun `a new gateway gets a report at once and so do the addresses it lists`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(report(1, members = listOf(other)))
        assertEquals(setOf(peer, other), harness.reports().single().to.toSet())
        assertEquals(setOf(peer), harness.state.exchange.members.keys.toSet())
    }

    /** Guards against gateways that ignore each other's work and choose the same engine. */
    @Test
    fun `work of other gateways counts until their reports are outdated`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        val load =
            EngineLoad(openRequests = 3, decodingRequests = 2, pendingPrefill = 900.milliseconds)
        harness.feed(report(1, mapOf(EndpointId("e1") to load)))
        harness.advance(400.milliseconds)
        assertEquals(4, harness.knownLoad().openRequests)
        assertEquals(500, harness.backlog().inWholeMilliseconds)
        harness.advance(2.seconds)
        assertEquals(1, harness.knownLoad().openRequests)
    }

    @Test
    fun `a report that arrives late does not replace a newer one`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        harness.feed(report(5, mapOf(EndpointId("e1") to EngineLoad(openRequests = 2))))
        harness.feed(report(4))
        assertEquals(3, harness.knownLoad().openRequests)
        harness.feed(report(1, incarnation = "2"))
        assertEquals(1, harness.knownLoad().openRequests)
    }

    @Test
    fun `changed work is reported soon but not more often than the minimum interval`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(report(1))
        harness.advance(100.milliseconds)
        harness.arrive("1")
        assertEquals(1, harness.reports().single().report.loads.size)
        harness.arrive("2")
        assertEquals(emptyList(), harness.reports())
        harness.advance(15.milliseconds)
        assertEquals(2, harness.reports().single().report.loads.values.single().openRequests)
    }

    @Test
    fun `silent gateways count for the shared limits for 15 seconds`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(report(1))
        assertEquals(2, harness.state.gatewayCount)
        harness.advance(10.seconds)
        assertEquals(2, harness.state.gatewayCount)
        harness.advance(6.seconds)
        assertEquals(1, harness.state.gatewayCount)
    }

    /** A gateway that counts itself twice would use less of each shared limit than it may. */
    @Test
    fun `the own address among the seeds counts once`() {
        val harness = readyHarness(endpointOf("e1"))
        val own = harness.state.exchange.ownAddress
        harness.feed(SettingsEvent.Changed(sampleBounds, listOf(own, peer)))
        assertEquals(2, harness.state.gatewayCount)
        harness.feed(report(1))
        assertEquals(2, harness.state.gatewayCount)
    }

    @Test
    fun `a gateway sends periodic reports without any work`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(report(1))
        harness.advance(Duration.ZERO)
        harness.advance(1600.milliseconds)
        assertEquals(3, harness.reports().size)
    }

    @Test
    fun `a datagram that is not a valid report is logged and counted`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.feed(ExchangeEvent.ReportRejected(peer, "unknown version 9"))
        assertTrue(harness.effects.any { it is RuntimeEffect.Log })
        assertTrue(
            harness.effects.any {
                it is RuntimeEffect.Count && it.metric == Metric.REPORTS_REJECTED
            }
        )
    }
}
