/*
 * A day of requests at several gateways before shared engines, all in simulated time. The gateways
 * run the real reducer; only the traffic between them and the engines is simulated.
 */
package org.gypsumroute.core.gateway.simulation

import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Event
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.Revision
import org.gypsumroute.api.Route
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Timings
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.gateway.ExchangeState
import org.gypsumroute.core.gateway.ForwardPlacement
import org.gypsumroute.core.gateway.GatewayPolicies
import org.gypsumroute.core.gateway.KEY_DIGEST
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.routeOf
import org.gypsumroute.core.gateway.sampleBounds
import org.gypsumroute.core.gateway.sampleFigures
import org.gypsumroute.core.gateway.tableOf
import org.gypsumroute.core.reduce

/** Requests of one kind; lengths are log-normal with these means and relative spreads. */
internal data class RequestKind(
    val name: String,
    val perSecond: Double,
    val prompt: Double,
    val promptSpread: Double,
    val promptMost: Double,
    val events: Double,
    val eventsSpread: Double,
    val objective: Duration,
    val gap: Duration,
    val deadline: Duration,
    val worth: Double,
    val lateWorth: Double
)

/** Factors of each kind's rate for a time. */
internal data class Phase(val milliseconds: Double, val factors: Map<String, Double>)

/** What a day brought for one kind: credit earned and owed, and how many came when. */
internal class KindResult {
    var owed = 0.0
    var earned = 0.0
    var asked = 0
    var inTime = 0
    var lateFirst = 0
    var latePause = 0
    var unserved = 0
    val share: Double get() = if (owed == 0.0) 1.0 else earned / owed
}

/** A deployment; the engines are spread evenly over [dataCentres]. */
internal class Deployment(
    val dataCentres: Int = 3,
    val gatewaysPerDataCentre: Int = 1,
    val engines: Int = 16,
    val figures: EngineProfile = sampleFigures
)

/** Plays one day with a seed. */
internal class SimulatedDay(
    private val deployment: Deployment,
    private val kinds: List<RequestKind>,
    private val phases: List<Phase>,
    private val placement: ForwardPlacement,
    seed: Long
) {
    private val random = Random(seed)
    private val entropy = Random(seed)
    private val clock = Clock()
    private val engines = (0 until deployment.engines).associate { index ->
        EndpointId("i-${mix(seed * 1000 + index)}") to SimulatedEngine(deployment.figures, clock)
    }
    private val records = engines.keys.mapIndexed { index, id -> recordOf(index, id) }
    private val gateways =
        (0 until deployment.dataCentres * deployment.gatewaysPerDataCentre).map { Gateway(it) }
    val results = kinds.associate { it.name to KindResult() }
    private var nextRequest = 0L

    /** Runs the phases and some time more for what is still open. */
    fun run(): Map<String, KindResult> {
        gateways.forEach { it.start() }
        clock.runUntil(START)
        var begin = START
        for (phase in phases) {
            for (kind in kinds) {
                planArrivals(
                    kind,
                    begin,
                    begin + phase.milliseconds,
                    phase.factors[kind.name] ?: 1.0
                )
            }
            begin += phase.milliseconds
        }
        clock.runUntil(begin + TAIL)
        return results
    }

    /** Credit earned of all credit owed. */
    val share: Double get() = results.values.sumOf { it.earned } / results.values.sumOf { it.owed }

    private fun planArrivals(kind: RequestKind, begin: Double, end: Double, factor: Double) {
        var at = begin
        while (true) {
            at += -ln(1 - random.nextDouble()) * 1000 / (kind.perSecond * factor)
            if (at > end) return
            val caller = callerOf(kind)
            clock.after(at - clock.now) { caller.begin() }
        }
    }

    private fun callerOf(kind: RequestKind): Caller {
        val prompt = logNormal(
            kind.prompt,
            kind.promptSpread
        ).coerceAtMost(kind.promptMost).toLong()
        val events = logNormal(kind.events, kind.eventsSpread).coerceAtLeast(1.0)
        val output = (events * deployment.figures.stepsPerPass).toLong()
        val hint = (output * exp(random.nextGaussian() / 2)).toLong()
        return Caller(kind, prompt, output, hint, gateways[random.nextInt(gateways.size)])
    }

    private fun logNormal(mean: Double, spread: Double): Double {
        val variance = ln(1 + spread * spread)
        return exp(ln(mean) - variance / 2 + sqrt(variance) * random.nextGaussian())
    }

    private fun recordOf(index: Int, id: EndpointId) = EndpointRecord(
        id = id,
        service = modelService,
        address = EndpointAddress(id.value, 80),
        dataCentre = DataCentreId("d${index % deployment.dataCentres}"),
        slots = deployment.figures.slots,
        leaving = false,
        coldRemaining = Duration.ZERO,
        startStamp = 1
    )

    private fun routes(): List<Route> = kinds.map { kind ->
        routeOf("/${kind.name}/", modelService, Repetition.RESUMABLE, streaming = true).copy(
            timeout = kind.deadline,
            objective = kind.objective,
            gapObjective = kind.gap
        )
    }

    /** A request from its caller's side. */
    private inner class Caller(
        private val kind: RequestKind,
        private val prompt: Long,
        private val output: Long,
        private val hint: Long,
        private val gateway: Gateway
    ) {
        val id = RequestId("${nextRequest++}")
        private val result = results.getValue(kind.name)
        private val worth = kind.worth * minOf(4.0, SIZE_BASE + (1 - SIZE_BASE) * sizeShare())
        private var arrivedAt = 0.0
        private var last = 0.0
        private var first = -1.0
        private var longest = 0.0
        private var over = false
        val task = EngineTask("$id", prompt, output, ::eventSeen, ::eventSeen, ::served)

        fun begin() {
            arrivedAt = clock.now
            last = clock.now
            result.asked++
            result.owed += worth
            gateway.callers[id] = this
            clock.after(HOP) {
                gateway.feed(
                    ForwardEvent.Arrived(
                        id,
                        RequestHead(
                            callerRequestId = "$id",
                            hostName = "a.example",
                            path = "/${kind.name}/x",
                            keyDigest = KEY_DIGEST,
                            timeout = kind.deadline,
                            promptTokens = Tokens(prompt),
                            outputLimit = Tokens(output * 4),
                            expectedOutput = Tokens(hint),
                            resumed = false
                        ),
                        Bytes(0)
                    )
                )
            }
            watch()
        }

        fun fail() {
            if (over) return
            over = true
            result.unserved++
            gateway.callers.remove(id)
        }

        private fun eventSeen() {
            if (over) return
            if (first < 0) {
                first = clock.now
                gateway.begun(id)
            } else {
                longest = maxOf(longest, clock.now - last)
            }
            last = clock.now
        }

        private fun served() {
            if (over) return
            over = true
            gateway.callers.remove(id)
            gateway.ended(id, AttemptOutcome.Completed(200, Duration.ZERO))
            val lateFirst = first - arrivedAt > kind.objective.ms()
            val latePause = longest > kind.gap.ms()
            if (lateFirst) result.lateFirst++
            if (latePause) result.latePause++
            if (!lateFirst && !latePause) result.inTime++
            result.earned +=
                worth * if (lateFirst || latePause) kind.lateWorth / kind.worth else 1.0
        }

        /** Callers leave after a long silence. */
        private fun watch() {
            val patience = maxOf(2000.0, 4 * kind.objective.ms(), 8 * kind.gap.ms())
            clock.after(patience / 4) {
                if (!over) {
                    val silent = clock.now - last > patience
                    if (silent || clock.now - arrivedAt > kind.deadline.ms()) {
                        fail()
                        gateway.feed(ForwardEvent.CallerLeft(id))
                    } else {
                        watch()
                    }
                }
            }
        }

        private fun sizeShare(): Double {
            val step = deployment.figures.stepsPerPass
            return (prompt + 10.0 * output) / (kind.prompt + 10 * kind.events * step)
        }
    }

    /** A gateway with the real reducer. */
    private inner class Gateway(index: Int) {
        val address = EndpointAddress("10.0.0.$index", 7000)
        val callers = HashMap<RequestId, Caller>()
        private val timers = HashMap<TimerId, Clock.Planned>()
        private var state = GatewayState(
            common = CommonState(
                NodeIdentity(
                    HostId("gateway-$index"),
                    IncarnationId("$index"),
                    NodeRole.GATEWAY,
                    RegionId("region"),
                    DataCentreId("d${index % deployment.dataCentres}")
                ),
                Timings(),
                defaultPolicies
            ),
            bounds = sampleBounds,
            policies = GatewayPolicies(placement),
            exchange = ExchangeState(address, listOf(EndpointAddress("10.0.0.0", 7000)))
        )

        fun start() {
            feed(RuntimeEvent.Started)
            val table = PublishedRecord.Table(tableOf(1, *routes().toTypedArray()))
            feed(
                PublishedEvent.SnapshotRead(
                    null,
                    Revision(1),
                    listOf(table) + records.map { PublishedRecord.Endpoint(it) }
                )
            )
        }

        fun begun(request: RequestId) {
            val attempt = state.requests[request]?.attempt ?: return
            feed(ForwardEvent.StreamBegun(request, attempt.id))
        }

        fun ended(request: RequestId, outcome: AttemptOutcome) {
            val attempt = state.requests[request]?.attempt ?: return
            feed(ForwardEvent.AttemptEnded(request, attempt.id, outcome))
        }

        fun feed(event: Event) {
            take(RuntimeEvent.ClockRead(Moment(clock.now.toLong()), entropy.nextLong()))
            take(event)
        }

        private fun take(event: Event) {
            val step = reduce(state, event)
            state = step.state as GatewayState
            step.effects.forEach { carryOut(it) }
        }

        private fun carryOut(effect: Effect) {
            when (effect) {
                is ForwardEffect.Send -> send(effect)

                is ForwardEffect.Refuse -> callers[effect.request]?.fail()

                is ForwardEffect.Cut -> callers[effect.request]?.fail()

                is ForwardEffect.Abandon -> callers[effect.request]?.let { caller ->
                    engines.values.forEach { it.cancel(caller.task) }
                }

                is RuntimeEffect.SetTimer -> {
                    timers.remove(effect.timer)?.let { clock.cancel(it) }
                    timers[effect.timer] = clock.after(effect.after.ms()) {
                        timers.remove(effect.timer)
                        feed(RuntimeEvent.TimerFired(effect.timer))
                    }
                }

                is RuntimeEffect.CancelTimer ->
                    timers.remove(effect.timer)?.let { clock.cancel(it) }

                is ExchangeEffect.SendReport -> for (other in gateways) {
                    if (other.address in effect.to) {
                        clock.after(HOP) {
                            other.feed(ExchangeEvent.ReportReceived(address, effect.report))
                        }
                    }
                }

                is ReservationEffect.Reserve -> clock.after(2 * HOP) {
                    feed(ReservationEvent.Reserved(effect.reservation))
                }

                else -> Unit
            }
        }

        private fun send(effect: ForwardEffect.Send) {
            val caller = callers[effect.request] ?: return
            val first = engines.getValue(effect.target.endpoint)
            val helpers = effect.target.helpers.map {
                engines.getValue(EndpointId(it.address.host))
            }
            clock.after(HOP) { first.add(caller.task, listOf(first) + helpers) }
        }
    }

    private companion object {
        /** Network and processing on one way. */
        const val HOP = 2.0
        const val START = 2000.0
        const val TAIL = 16_000.0
        const val SIZE_BASE = 0.3

        fun mix(value: Long): String = java.lang.Long.toHexString(value * -0x61c8864680b583ebL)
    }
}

/** Kinds and phases in the size of a restaurant menu service: many short, few very long prompts. */
internal object SampleDay {
    val kinds = listOf(
        RequestKind(
            "short", 24.6, 4960.0, 0.9, 23_800.0, 34.9, 0.7,
            300.milliseconds, 200.milliseconds, 10_000.milliseconds, 1.3, 0.33
        ),
        RequestKind(
            "middle", 1.79, 45_000.0, 0.5, 110_000.0, 20.9, 0.6,
            1500.milliseconds, 500.milliseconds, 10_000.milliseconds, 3.1, 0.79
        ),
        RequestKind(
            "long", 0.743, 210_000.0, 0.55, 1_000_000.0, 17.4, 0.5,
            3000.milliseconds, 800.milliseconds, 15_000.milliseconds, 22.0, 5.4
        )
    )
    val longPhase = Phase(9500.0, mapOf("short" to 0.32, "middle" to 1.3, "long" to 2.7))
    val shortPhase = Phase(9500.0, mapOf("short" to 2.4, "middle" to 0.5, "long" to 0.05))
    val calm = Phase(2000.0, emptyMap())
    val phases = listOf(calm, longPhase, shortPhase, longPhase)
}
