package org.gypsumroute.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Effect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Metric
import org.gypsumroute.api.RuntimeEffect

class GatewayMetricsTest {
    private fun List<Effect>.counted(metric: Metric) =
        filterIsInstance<RuntimeEffect.Count>().filter { it.metric == metric }
            .map { it.labels.outcome }

    private fun List<Effect>.observed(metric: Metric) =
        filterIsInstance<RuntimeEffect.Observe>().filter { it.metric == metric }.map { it.value }

    @Test
    fun `a served stream is counted once with the times to its first event and to its end`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        harness.arrive("1", headOf("/stream/x", prompt = 100))
        harness.advance(50.milliseconds)
        harness.beginStream("1")
        harness.advance(200.milliseconds)
        val ended = harness.endAttempt("1", AttemptOutcome.Completed(200, Duration.ZERO))
        assertEquals(listOf<String?>("served"), ended.counted(Metric.REQUESTS))
        assertEquals(listOf<String?>("completed"), ended.counted(Metric.ATTEMPTS))
        assertEquals(listOf(0.05), ended.observed(Metric.FIRST_TOKEN))
        assertEquals(listOf(0.25), ended.observed(Metric.REQUEST_DURATION))
    }

    @Test
    fun `a retry is counted and a failure that is passed on has its own outcome`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.advance(20.seconds)
        harness.arrive("1")
        val retried = harness.endAttempt("1", AttemptOutcome.NotRun(503, misdirected = false))
        assertEquals(1, retried.counted(Metric.RETRIES).size)
        assertEquals(listOf<String?>("not_run"), retried.counted(Metric.ATTEMPTS))
        val ended = harness.endAttempt("1", AttemptOutcome.Failed(500))
        assertEquals(listOf<String?>("endpoint_failed"), ended.counted(Metric.REQUESTS))
    }

    /** Guards against refusals that are not counted when the error budget's burn is computed. */
    @Test
    fun `refusals are counted by error kind`() {
        val harness = readyHarness(endpointOf("e1"))
        val refused = harness.arrive("1", headOf("/nowhere/x"))
        val kind: String? = ErrorKind.ROUTE_UNKNOWN.code
        assertEquals(listOf(kind), refused.counted(Metric.REQUESTS))
    }
}
