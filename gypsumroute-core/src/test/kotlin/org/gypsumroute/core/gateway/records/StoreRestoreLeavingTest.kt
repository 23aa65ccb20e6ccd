/*
 * What gateways tell each other of leaving endpoints after the store came back from an older copy.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.StoreEra
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.endpoints.acceptsNewRequests
import org.gypsumroute.core.gateway.plainService
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom
import org.gypsumroute.core.gateway.sampleTable

class StoreRestoreLeavingTest {
    private val leaving = endpointOf("e1", leaving = true, startStamp = 1_000, sequence = 5)
    private val restarted = endpointOf("e1", startStamp = 4_500, sequence = 1)

    private fun GatewayHarness.usable(): Set<String> = state.endpoints.values
        .filter { acceptsNewRequests(state, plainService, it) }
        .map { it.record.id.value }.toSet()

    private fun gateway() = readyHarness(endpointOf("e1", startStamp = 1_000)).apply {
        advance(5_000.milliseconds)
    }

    /** The gateway reads after the return for the first time that e1 leaves. */
    private fun GatewayHarness.readCopy() {
        feed(PublishedEvent.HistoryLost(latestRead, AnsweredEra(StoreEra(1))))
        feedSnapshot(sampleTable, listOf(leaving), revision = 1, era = 1)
        assertEquals(emptySet(), usable())
    }

    /**
     * Guards against an endpoint that restarted while the store was away and gets nothing for good:
     * the time at which a gateway read the record of the earlier start is not when it was written.
     */
    @Test
    fun `a start before the record of an earlier one was read is used at all gateways`() {
        val reporting = gateway().apply { readCopy() }
        reporting.feed(reportFrom("10.0.0.2"))
        val report = reporting.advance(500.milliseconds)
            .filterIsInstance<ExchangeEffect.SendReport>().last().report
        val harness = gateway().apply { advance(510.milliseconds) }
        val other = report.copy(host = HostId("gateway-2"))
        harness.feed(ExchangeEvent.ReportReceived(EndpointAddress("10.0.0.3", 7000), other))
        harness.readCopy()
        for (gateway in listOf(reporting, harness)) {
            gateway.feedChanges(PublishedRecord.Endpoint(restarted))
        }
        assertEquals(setOf("e1"), reporting.usable(), "the gateway that reports")
        assertEquals(setOf("e1"), harness.usable(), "the gateway that hears the report")
    }
}
