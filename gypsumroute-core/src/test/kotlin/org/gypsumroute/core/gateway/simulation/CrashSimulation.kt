/*
 * Simulates requests of which some have a part in their prompts that crashes endpoints, at many
 * gateways in front of shared endpoints, in simulated time. The gateways run the real reducer and
 * exchange their reports as datagrams, some of which are lost.
 */
package org.gypsumroute.core.gateway.simulation

import java.util.Random
import kotlin.math.ln
import kotlin.time.DurationUnit
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Revision
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.positionOf

/** One simulation run; the seed determines all requests and choices. */
internal class CrashSimulation(val scenario: CrashScenario, seed: Long) {
    val random = Random(seed)
    val clock = SimulatedClock()
    val outcome = CrashOutcome()

    /** The attempts that are open at each endpoint. */
    val endpoints = HashMap<EndpointId, LinkedHashSet<OpenAttempt>>()
    private val gateways = (0 until scenario.gateways).map { SimulatedGateway(this, it) }
    private var nextRequest = 0L
    private var nextEndpoint = 0
    private var revision = 1L

    fun run(): CrashOutcome {
        repeat(scenario.endpoints) { endpoints[nextId()] = LinkedHashSet() }
        gateways.forEach { it.start() }
        clock.runUntil(START_MS)
        schedule(scenario.soundPerSecond) { arrive(random.nextInt(scenario.organisations), null) }
        for (crashing in scenario.crashing) {
            clock.after(crashing.begin.toDouble(DurationUnit.MILLISECONDS)) {
                schedule(crashing.perSecond) { arrive(organisationOf(crashing), crashing.part) }
            }
        }
        clock.runUntil(START_MS + scenario.duration.toDouble(DurationUnit.MILLISECONDS))
        return outcome
    }

    /** Ends an endpoint under [part]; it is back under another id after some seconds. */
    fun crash(id: EndpointId, part: PromptPartId) {
        val open = endpoints.remove(id) ?: return
        outcome.crashes.getOrPut(part) { ArrayList() } += clock.now
        open.forEach { (gateway, request, attempt) ->
            clock.after(HOP_MS) { gateway.attemptEnded(request, attempt, CONNECTION_LOST) }
        }
        clock.after(RECORD_LAPSE_MS) { publish(PublishedRecord.EndpointRemoved(id)) }
        clock.after(RESTART_MS) {
            val restarted = nextId()
            endpoints[restarted] = LinkedHashSet()
            publish(PublishedRecord.Endpoint(endpointOf(restarted.value, modelService)))
        }
    }

    /** Delivers a report to the other gateways, except for datagrams that are lost. */
    fun broadcast(from: SimulatedGateway, report: GatewayReport) {
        for (other in gateways) {
            if (other === from || random.nextDouble() < scenario.lostDatagrams) continue
            clock.after(HOP_MS) { other.feed(ExchangeEvent.ReportReceived(from.address, report)) }
        }
    }

    private fun nextId() = EndpointId("i-${nextEndpoint++}")

    private fun schedule(perSecond: Double, action: () -> Unit) {
        if (perSecond == 0.0) return
        clock.after(-ln(1 - random.nextDouble()) * MS_PER_SECOND / perSecond) {
            action()
            schedule(perSecond, action)
        }
    }

    private fun organisationOf(crashing: CrashingRequests): Int =
        crashing.organisations?.let { it[random.nextInt(it.size)] }
            ?: random.nextInt(scenario.organisations)

    /** The first part is that of all requests, the second that of the organisation. */
    private fun arrive(organisation: Int, crashing: PromptPartId?) {
        val parts =
            listOfNotNull(PromptPartId(1), PromptPartId(100L + organisation), crashing)
        if (crashing == null) outcome.soundArrived.merge(organisation, 1, Int::plus)
        val id = RequestId("${nextRequest++}")
        val head = headOf("/stream/x", key = "key-$organisation", prompt = 1000)
            .copy(promptParts = parts)
        gateways[random.nextInt(gateways.size)]
            .arrive(id, head, SimulatedRequest(organisation, crashing))
    }

    private fun publish(record: PublishedRecord) {
        revision++
        gateways.forEach {
            it.feed(
                PublishedEvent.ChangesRead(
                    ReadId(1),
                    positionOf(revision - 1),
                    Revision(revision),
                    listOf(record)
                )
            )
        }
    }

    internal data class OpenAttempt(
        val gateway: SimulatedGateway,
        val request: RequestId,
        val attempt: AttemptId
    )

    private companion object {
        val CONNECTION_LOST = AttemptOutcome.Lost("connection closed", connectionLost = true)
        const val MS_PER_SECOND = 1000.0
        const val START_MS = 1000.0
        const val RECORD_LAPSE_MS = 2400.0
        const val RESTART_MS = 3000.0
    }
}

/** A request of [organisation]; its prompt has the [crashing] part unless that is null. */
internal data class SimulatedRequest(val organisation: Int, val crashing: PromptPartId?)

/** Time of a message between two processes. */
internal const val HOP_MS = 2.0
