/*
 * A gateway with many engines, and requests with parts of prompts under which these end.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.Failure
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReportedLoss
import org.gypsumroute.api.ReportedSuspicion
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.reportFrom
import org.gypsumroute.core.gateway.sampleTable

abstract class PromptCrashFixture {
    protected val shared = 1L
    protected val subject = 2L
    protected val crashing = 3L
    protected val otherCrashing = 4L
    protected val lost = AttemptOutcome.Lost("connection closed", connectionLost = true)
    protected val completed = AttemptOutcome.Completed(200, Duration.ZERO)
    private var nextRequest = 0
    private var nextSequence = 0L
    private var nextStart = 1L

    protected val tableWithOrganisations = sampleTable.copy(
        organisations = listOf("a", "b").map {
            OrganisationKeys(OrganisationId(it), setOf("key-$it"), null)
        }
    )

    internal fun engines(count: Int = 30) = GatewayHarness().apply {
        feed(RuntimeEvent.Started)
        val endpoints = (1..count).map { endpointOf("e$it", service = modelService) }
        feedSnapshot(tableWithOrganisations, endpoints)
        advance(11.seconds)
        repeat(20) { serve(shared) }
    }

    internal fun GatewayHarness.arriveWith(parts: List<Long>, organisation: String = "a"): String {
        val id = "r${nextRequest++}"
        val head = headOf("/stream/x", key = "key-$organisation", prompt = 1000)
        arrive(id, head.copy(promptParts = parts.map { PromptPartId(it) }))
        return id
    }

    internal fun GatewayHarness.isOpen(id: String) = RequestId(id) in state.requests

    /** Sends a request and lets it end with a complete answer; returns whether it was taken. */
    internal fun GatewayHarness.serve(vararg parts: Long, organisation: String = "a"): Boolean {
        val id = arriveWith(parts.asList(), organisation)
        if (!isOpen(id)) return false
        advance(50.milliseconds)
        beginStream(id)
        endAttempt(id, completed)
        return true
    }

    /** Sends a request under which each endpoint ends; returns how many that are. */
    internal fun GatewayHarness.crash(vararg parts: Long, organisation: String = "a"): Int {
        val id = arriveWith(parts.asList(), organisation)
        var count = 0
        while (isOpen(id)) {
            advance(50.milliseconds)
            val endpoint = state.requests.getValue(RequestId(id)).attempt!!.endpoint
            endAttempt(id, lost)
            val restarted = endpointOf(endpoint.value, modelService, startStamp = ++nextStart)
            feedChanges(PublishedRecord.Endpoint(restarted))
            count++
        }
        return count
    }

    internal fun GatewayHarness.failure(): Failure = refusals.single().failure

    internal fun GatewayHarness.feedSuspicions(vararg startsOfParts: Pair<Long, IntRange>) {
        val suspicions = startsOfParts.map { (part, starts) ->
            ReportedSuspicion(
                listOf(PromptPartId(part)),
                othersServed = 9,
                starts.map { start ->
                    val ago = (500 - 50 * start).milliseconds
                    ReportedLoss(
                        EndpointStart(start),
                        OrganisationDigest(start),
                        ago + 40.milliseconds,
                        ago
                    )
                }
            )
        }
        val event = reportFrom("10.0.0.2", sequence = ++nextSequence)
        feed(event.copy(report = event.report.copy(crashes = CrashReport(suspicions))))
    }
}
