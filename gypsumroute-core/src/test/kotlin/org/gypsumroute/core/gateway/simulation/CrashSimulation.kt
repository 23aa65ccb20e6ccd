/*
 * Simulates requests of which some have a part in their prompts that crashes endpoints, at many
 * gateways in front of shared endpoints, in simulated time. The gateways run the real reducer and
 * exchange their reports as datagrams, some of which are lost.
 */
package org.gypsumroute.core.gateway.simulation

import java.util.Random
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.Event
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Timings
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.gateway.ExchangeState
import org.gypsumroute.core.gateway.ForwardChoice
import org.gypsumroute.core.gateway.ForwardPlacement
import org.gypsumroute.core.gateway.GatewayPolicies
import org.gypsumroute.core.gateway.Member
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.homeDataCentre
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.sampleBounds
import org.gypsumroute.core.gateway.sampleTable
import org.gypsumroute.core.mixBits
import org.gypsumroute.core.reduce

/** What a simulation is about; rates are per second over all gateways. */
internal data class CrashScenario(
    val gateways: Int,
    val endpoints: Int,
    val soundPerSecond: Double,
    val crashingPerSecond: Double,
    val duration: Duration,
    val lostDatagrams: Double,
    val organisations: Int = 20
)

/** One simulation run; the seed determines all requests and choices. */
internal class CrashSimulation(private val scenario: CrashScenario, seed: Long) {
    private val random = Random(seed)
    private val clock = SimulatedClock()
    private val endpoints = HashMap<EndpointId, SimulatedEndpoint>()
    private val firstReports = (0 until scenario.gateways).map(::firstReportOf)
    private val gateways = (0 until scenario.gateways).map { Gateway(it) }
    private var nextRequest = 0L
    private var nextEndpoint = 0
    private var revision = 1L

    /** Times at which an endpoint crashed, in milliseconds. */
    val crashes = ArrayList<Double>()

    /** Times at which requests with the crashing part were sent to endpoints. */
    val crashingSends = ArrayList<Double>()

    var soundArrived = 0
        private set
    var soundServed = 0
        private set

    /** Refusals of sound requests because of a part of their prompts. */
    var soundBlocked = 0
        private set

    /** The most parts that a gateway held evidence of. */
    val mostParts: Int get() = gateways.maxOf { it.mostParts }

    fun run(): CrashSimulation {
        repeat(scenario.endpoints) { endpoints[nextId()] = SimulatedEndpoint() }
        gateways.forEach { it.start() }
        clock.runUntil(START_MS)
        schedule(scenario.soundPerSecond) { arrive(crashing = false) }
        schedule(scenario.crashingPerSecond) { arrive(crashing = true) }
        clock.runUntil(START_MS + scenario.duration.toDouble(DurationUnit.MILLISECONDS))
        return this
    }

    /** Requests with the part that were sent later than [wait] after the fifth crash. */
    fun sentAfterFifthCrash(wait: Duration): Int {
        val fifth = crashes.getOrNull(FIFTH) ?: return 0
        val from = fifth + wait.toDouble(DurationUnit.MILLISECONDS)
        return crashingSends.count { it > from }
    }

    private fun nextId() = EndpointId("i-${nextEndpoint++}")

    private fun schedule(perSecond: Double, action: () -> Unit) {
        if (perSecond == 0.0) return
        clock.after(-ln(1 - random.nextDouble()) * MS_PER_SECOND / perSecond) {
            action()
            schedule(perSecond, action)
        }
    }

    /**
     * The first part is that of all requests, the second that of the organisation. No answer is
     * seen to begin before it is complete, so that all requests at an endpoint that crashes could
     * be the cause.
     */
    private fun arrive(crashing: Boolean) {
        val organisation = random.nextInt(scenario.organisations)
        val parts = listOfNotNull(
            PromptPartId(1),
            PromptPartId(100L + organisation),
            CRASHING_PART.takeIf { crashing }
        )
        if (!crashing) soundArrived++
        val request = RequestId("${nextRequest++}")
        val head = headOf("/stream/x", key = "key-$organisation", prompt = 1000)
            .copy(promptParts = parts)
        gateways[random.nextInt(gateways.size)].arrive(request, head, crashing)
    }

    /** Ends an endpoint; it is back under another id after some seconds. */
    private fun crash(id: EndpointId) {
        val endpoint = endpoints.remove(id) ?: return
        crashes += clock.now
        endpoint.open.toList().forEach { (gateway, request, attempt) ->
            clock.after(HOP_MS) {
                gateway.attemptEnded(
                    request,
                    attempt,
                    AttemptOutcome.Lost("connection closed", connectionLost = true)
                )
            }
        }
        clock.after(RECORD_LAPSE_MS) { publish(PublishedRecord.EndpointRemoved(id)) }
        clock.after(RESTART_MS) {
            val restarted = nextId()
            endpoints[restarted] = SimulatedEndpoint()
            publish(PublishedRecord.Endpoint(endpointOf(restarted.value, modelService)))
        }
    }

    private fun publish(record: PublishedRecord) {
        revision++
        gateways.forEach {
            it.feed(PublishedEvent.ChangesRead(Revision(revision), listOf(record)))
        }
    }

    /** The attempts that are open at an endpoint. */
    private class SimulatedEndpoint {
        val open = LinkedHashSet<Triple<Gateway, RequestId, AttemptId>>()
    }

    /** A gateway that runs the real reducer. */
    private inner class Gateway(private val index: Int) {
        private val address = addressOf(index)
        private val crashing = HashMap<RequestId, Boolean>()
        private val timers = HashMap<TimerId, SimulatedClock.ScheduledAction>()
        var mostParts = 0
        private var state = GatewayState(
            common = CommonState(
                NodeIdentity(
                    HostId("gateway-$index"),
                    IncarnationId("$index"),
                    NodeRole.GATEWAY,
                    RegionId("region"),
                    homeDataCentre
                ),
                Timings(),
                defaultPolicies
            ),
            bounds = sampleBounds.copy(retryAllowance = 100.0),
            policies = GatewayPolicies(anyEndpoint),
            exchange = ExchangeState(
                address,
                seeds = emptyList(),
                members = (0 until scenario.gateways).filter { it != index }
                    .associate { addressOf(it) to firstReports[it] }.toPersistentMap()
            ),
            startedAt = UnixTime(0)
        )

        fun start() {
            clock.after(random.nextDouble() * START_SPREAD_MS) {
                feed(RuntimeEvent.Started)
                val table = sampleTable.copy(
                    organisations = (0 until scenario.organisations).map {
                        OrganisationKeys(OrganisationId("o$it"), setOf("key-$it"), null)
                    }
                )
                val records = endpoints.keys.map {
                    PublishedRecord.Endpoint(endpointOf(it.value, modelService))
                }
                feed(
                    PublishedEvent.SnapshotRead(
                        null,
                        Revision(1),
                        listOf(PublishedRecord.Table(table)) + records
                    )
                )
            }
        }

        fun arrive(request: RequestId, head: RequestHead, crash: Boolean) {
            crashing[request] = crash
            feed(ForwardEvent.Arrived(request, head, Bytes(0)))
        }

        fun attemptEnded(request: RequestId, attempt: AttemptId, outcome: AttemptOutcome) =
            feed(ForwardEvent.AttemptEnded(request, attempt, outcome))

        fun feed(event: Event) {
            reduceEvent(RuntimeEvent.ClockRead(Moment(clock.now.toLong()), random.nextLong()))
            reduceEvent(event)
        }

        private fun reduceEvent(event: Event) {
            val step = reduce(state, event)
            state = step.state as GatewayState
            mostParts = maxOf(mostParts, state.crashes.parts.size)
            step.effects.forEach { execute(it) }
        }

        private fun execute(effect: Effect) {
            when (effect) {
                is ForwardEffect.Send -> send(effect)

                is ForwardEffect.Refuse -> {
                    val sound = crashing.remove(effect.request) == false
                    if (sound && effect.failure.detail.startsWith("prompt part")) soundBlocked++
                }

                is RuntimeEffect.SetTimer -> {
                    timers.remove(effect.timer)?.let { clock.cancel(it) }
                    timers[effect.timer] =
                        clock.after(effect.after.toDouble(DurationUnit.MILLISECONDS)) {
                            timers.remove(effect.timer)
                            feed(RuntimeEvent.TimerFired(effect.timer))
                        }
                }

                is RuntimeEffect.CancelTimer ->
                    timers.remove(effect.timer)?.let { clock.cancel(it) }

                is ExchangeEffect.SendReport -> sendReport(effect)

                else -> Unit
            }
        }

        /**
         * The gateways know each other, so the reports need not list members; loads do not matter
         * here, and would take much memory at many gateways.
         */
        private fun sendReport(effect: ExchangeEffect.SendReport) {
            val report = effect.report.copy(members = emptyList(), loads = emptyMap())
            for (other in gateways) {
                if (other !== this && random.nextDouble() >= scenario.lostDatagrams) {
                    clock.after(HOP_MS) {
                        other.feed(ExchangeEvent.ReportReceived(address, report))
                    }
                }
            }
        }

        private fun send(effect: ForwardEffect.Send) {
            val id = effect.target.endpoint
            val crash = crashing.getValue(effect.request)
            if (crash) crashingSends += clock.now
            val endpoint = endpoints[id]
            if (endpoint == null) {
                val outcome = AttemptOutcome.NeverSent("connection refused")
                clock.after(HOP_MS) { attemptEnded(effect.request, effect.attempt, outcome) }
                if (crash) crashingSends.removeLast()
                return
            }
            val open = Triple(this, effect.request, effect.attempt)
            endpoint.open += open
            if (crash) {
                clock.after(BEGIN_MS + random.nextDouble() * BEGIN_MS) {
                    if (open in endpoint.open) crash(id)
                }
            } else {
                clock.after(BEGIN_MS + random.nextDouble() * SERVICE_MS) {
                    if (endpoints[id] === endpoint && endpoint.open.remove(open)) {
                        serve(effect)
                    }
                }
            }
        }

        private fun serve(effect: ForwardEffect.Send) {
            soundServed++
            crashing.remove(effect.request)
            feed(ForwardEvent.StreamBegun(effect.request, effect.attempt))
            attemptEnded(
                effect.request,
                effect.attempt,
                AttemptOutcome.Completed(200, Duration.ZERO)
            )
        }
    }

    private companion object {
        val CRASHING_PART = PromptPartId(0xbad)
        const val FIFTH = 4
        const val MS_PER_SECOND = 1000.0
        const val START_SPREAD_MS = 500.0
        const val START_MS = 1000.0
        const val HOP_MS = 2.0

        /** Time until an endpoint begins to write an answer. */
        const val BEGIN_MS = 60.0
        const val SERVICE_MS = 900.0
        const val RECORD_LAPSE_MS = 2400.0
        const val RESTART_MS = 3000.0

        /** Any endpoint, by chance: what matters here is only how many there are. */
        val anyEndpoint: ForwardPlacement = { input ->
            val candidates = input.candidates
            if (candidates.isEmpty()) {
                null
            } else {
                val index = Math.floorMod(mixBits(input.entropy), candidates.size)
                ForwardChoice(
                    candidates[index].record.id,
                    emptyList(),
                    Duration.ZERO,
                    Duration.ZERO
                )
            }
        }

        /** What every gateway knows of another one at the start. */
        fun firstReportOf(index: Int): Member {
            val report = GatewayReport(
                HostId("gateway-$index"),
                IncarnationId("$index"),
                sequence = 0,
                revision = Revision.NONE,
                storeReachable = true,
                ready = true,
                loads = emptyMap(),
                members = emptyList()
            )
            return Member(report, Moment.START, persistentMapOf())
        }

        fun addressOf(index: Int) = EndpointAddress("10.0.${index / 250}.${index % 250}", 7000)
    }
}
