package org.gypsumroute.core.gateway.simulation

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.Event
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Timings
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.exchange.ExchangeState
import org.gypsumroute.core.gateway.exchange.Member
import org.gypsumroute.core.gateway.homeDataCentre
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.placement.ForwardChoice
import org.gypsumroute.core.gateway.placement.ForwardPlacement
import org.gypsumroute.core.gateway.placement.GatewayPolicies
import org.gypsumroute.core.gateway.sampleBounds
import org.gypsumroute.core.gateway.sampleTable
import org.gypsumroute.core.mixBits
import org.gypsumroute.core.reduce

/** A gateway of a [simulation], which runs the real reducer. */
internal class SimulatedGateway(private val simulation: CrashSimulation, index: Int) {
    val address = addressOf(index)
    private val clock = simulation.clock
    private val random = simulation.random
    private val outcome = simulation.outcome
    private val requests = HashMap<RequestId, SimulatedRequest>()
    private val timers = HashMap<TimerId, SimulatedClock.ScheduledAction>()
    private var state = stateAtStart(index, simulation.scenario.gateways)

    fun start() {
        clock.after(random.nextDouble() * START_SPREAD_MS) {
            feed(RuntimeEvent.Started)
            val table = sampleTable.copy(
                organisations = (0 until simulation.scenario.organisations).map {
                    OrganisationKeys(OrganisationId("o$it"), setOf("key-$it"), null)
                }
            )
            val records = simulation.endpoints.keys.map {
                PublishedRecord.Endpoint(endpointOf(it.value, modelService))
            }
            val all = listOf(PublishedRecord.Table(table)) + records
            feed(PublishedEvent.SnapshotRead(ReadId(1), Revision(1), all))
        }
    }

    fun arrive(id: RequestId, head: RequestHead, request: SimulatedRequest) {
        requests[id] = request
        feed(ForwardEvent.Arrived(id, head, Bytes(0)))
    }

    fun attemptEnded(request: RequestId, attempt: AttemptId, ending: AttemptOutcome) =
        feed(ForwardEvent.AttemptEnded(request, attempt, ending))

    fun feed(event: Event) {
        reduceEvent(RuntimeEvent.ClockRead(Moment(clock.now.toLong()), random.nextLong()))
        reduceEvent(event)
    }

    private fun reduceEvent(event: Event) {
        val step = reduce(state, event)
        state = step.state as GatewayState
        outcome.mostParts = maxOf(outcome.mostParts, state.crashes.parts.size)
        step.effects.forEach { execute(it) }
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is ForwardEffect.Send -> send(effect)

            is ForwardEffect.Refuse -> {
                val request = requests.remove(effect.request) ?: return
                val isBlocked = effect.failure.detail.startsWith("prompt part")
                if (request.crashing == null && isBlocked) {
                    outcome.soundBlocked.merge(request.organisation, 1, Int::plus)
                }
            }

            is RuntimeEffect.SetTimer -> setTimer(effect)

            is RuntimeEffect.CancelTimer -> timers.remove(effect.timer)?.let { clock.cancel(it) }

            // The gateways know each other, so the reports need not list members; loads do not
            // matter here, and would take much memory at many gateways.
            is ExchangeEffect.SendReport -> simulation.broadcast(
                this,
                effect.report.copy(members = emptyList(), loads = emptyMap())
            )

            else -> Unit
        }
    }

    private fun setTimer(effect: RuntimeEffect.SetTimer) {
        timers.remove(effect.timer)?.let { clock.cancel(it) }
        timers[effect.timer] = clock.after(effect.after.toDouble(DurationUnit.MILLISECONDS)) {
            timers.remove(effect.timer)
            feed(RuntimeEvent.TimerFired(effect.timer))
        }
    }

    /**
     * No answer is seen to begin before it is complete, so that all requests at an endpoint that
     * crashes could be the cause.
     */
    private fun send(effect: ForwardEffect.Send) {
        val id = effect.target.endpoint
        val part = requests.getValue(effect.request).crashing
        val endpoint = simulation.endpoints[id]
        if (endpoint == null) {
            val refused = AttemptOutcome.NeverSent("connection refused")
            clock.after(HOP_MS) { attemptEnded(effect.request, effect.attempt, refused) }
            return
        }
        val open = CrashSimulation.OpenAttempt(this, effect.request, effect.attempt)
        endpoint += open
        if (part != null) {
            outcome.crashingSends.getOrPut(part) { ArrayList() } += clock.now
            clock.after(BEGIN_MS + random.nextDouble() * BEGIN_MS) {
                if (open in endpoint) simulation.crash(id, part)
            }
        } else {
            clock.after(BEGIN_MS + random.nextDouble() * SERVICE_MS) {
                if (simulation.endpoints[id] === endpoint && endpoint.remove(open)) serve(effect)
            }
        }
    }

    private fun serve(effect: ForwardEffect.Send) {
        outcome.soundServed++
        requests.remove(effect.request)
        feed(ForwardEvent.StreamBegun(effect.request, effect.attempt))
        attemptEnded(
            effect.request,
            effect.attempt,
            AttemptOutcome.Completed(200, Duration.ZERO)
        )
    }

    private companion object {
        const val START_SPREAD_MS = 500.0

        /** Time until an endpoint begins to write an answer. */
        const val BEGIN_MS = 60.0
        const val SERVICE_MS = 900.0
    }
}

private fun stateAtStart(index: Int, gateways: Int) = GatewayState(
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
        addressOf(index),
        seeds = emptyList(),
        members = (0 until gateways).filter { it != index }
            .associate { addressOf(it) to firstReportOf(it) }.toPersistentMap()
    ),
    startedAt = UnixTime(0)
)

/** Any endpoint, by chance: what matters here is only how many there are. */
private val anyEndpoint: ForwardPlacement = { input ->
    val candidates = input.candidates
    if (candidates.isEmpty()) {
        null
    } else {
        val index = Math.floorMod(mixBits(input.entropy), candidates.size)
        ForwardChoice(candidates[index].record.id, emptyList(), Duration.ZERO, Duration.ZERO)
    }
}

/** What every gateway knows of another one at the start. */
private fun firstReportOf(index: Int): Member {
    val report = GatewayReport(
        HostId("gateway-$index"),
        IncarnationId("$index"),
        sequence = 0,
        position = StorePosition.NONE,
        storeReachable = true,
        ready = true,
        loads = emptyMap(),
        members = emptyList()
    )
    return Member(report, Moment.START, persistentMapOf())
}

private fun addressOf(index: Int) = EndpointAddress("10.0.${index / 250}.${index % 250}", 7000)
