/*
 * Loads that endpoints state in their answers.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointLoadReport
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.StatementKind
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.attempts.send
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom

class StatedLoadReducerTest {
    private val endpoint = EndpointId("e1")

    private fun statementOf(endpoint: EndpointId, statement: EndpointStatement) =
        ForwardEvent.EndpointStated(endpoint, UnixTime(1), statement)

    private fun GatewayHarness.state(running: Int, waiting: Int) =
        feed(statementOf(endpoint, EndpointStatement.Load(EndpointLoadReport(running, waiting, 6))))

    private fun GatewayHarness.unseen() =
        state.endpoints.getValue(endpoint).unseenLoad.requestsAt(now)

    /** Guards against a burst that all gateways send to the endpoint that seems idle to each. */
    @Test
    fun `an endpoint that states work of others is avoided while the statement is fresh`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.state(running = 6, waiting = 2)
        repeat(4) {
            harness.arrive("$it")
            assertEquals("e2", harness.sends.single().target.endpoint.value)
        }
        harness.advance(2.seconds)
        assertEquals(0, harness.unseen())
    }

    @Test
    fun `work that the gateway knows of is not counted twice`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.arrive("1")
        harness.feed(
            reportFrom("10.0.0.2", loads = mapOf(endpoint to EngineLoad(openRequests = 2)))
        )
        harness.state(running = 3, waiting = 0)
        assertEquals(0, harness.unseen())
        harness.state(running = 4, waiting = 3)
        assertEquals(4, harness.unseen())
        harness.advance(500.milliseconds)
        assertEquals(2, harness.unseen())
    }

    @Test
    fun `a malformed statement is counted and changes nothing`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.state(running = 5, waiting = 0)
        val before = harness.state.endpoints
        harness.feed(statementOf(endpoint, EndpointStatement.Unusable(StatementKind.LOAD)))
        assertEquals(before, harness.state.endpoints)
        val counted = RuntimeEffect.Count(Metric.LOADS_REJECTED, MetricLabels())
        assertEquals(listOf<Any>(counted), harness.effects)
        harness.feed(
            statementOf(EndpointId("gone"), EndpointStatement.Load(EndpointLoadReport(1, 1, 1)))
        )
        assertEquals(before, harness.state.endpoints)
    }
}
