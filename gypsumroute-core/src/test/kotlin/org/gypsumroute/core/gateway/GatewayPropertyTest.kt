/*
 * Random events against the promises that hold on any day: published records that come, go and
 * contradict each other, a store that fails, pauses, other gateways, and attempts that end in every
 * way, also late ones.
 */
package org.gypsumroute.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Moment
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.ReservationId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEvent

class GatewayPropertyTest {
    @Test
    fun `every promise holds after any series of events`() {
        repeat(SEEDS) { seed -> GatewayRun(seed).play(STEPS) }
    }

    private companion object {
        const val SEEDS = 300
        const val STEPS = 400
    }
}

/** One series of events and what a caller and the endpoints see of it. */
private class GatewayRun(private val seed: Int) {
    private class Request(val repetition: Repetition, val most: Int) {
        var sends = 0
        var mayHaveRun = false
        var begun = false
        var current: AttemptId? = null
        var ended = false
    }

    private val random = Random(seed)
    private val harness = GatewayHarness()
    private val requests = LinkedHashMap<RequestId, Request>()
    private val reserved = HashSet<ReservationId>()
    private val repeats = ArrayList<Moment>()
    private val arrivals = ArrayList<Moment>()
    private val coldSends = HashMap<EndpointId, ArrayList<Moment>>()
    private var nextRequest = 0
    private var nextVersion = 1L

    fun play(steps: Int) {
        watch(harness.feed(RuntimeEvent.Started))
        repeat(steps) {
            watch(step())
            if (random.nextInt(3) == 0) {
                watch(harness.advance(random.nextInt(0, 400).milliseconds))
            }
        }
        watch(harness.advance(60.seconds))
        check(harness.state.requests.isEmpty(), "requests are left after their time")
        check(requests.values.all { it.ended }, "a request got no end")
        check(reserved.isEmpty(), "memory stays reserved: $reserved")
        check(harness.state.endpoints.values.all { it.work.isEmpty() }, "work is left")
    }

    private fun step(): List<Effect> = when (random.nextInt(20)) {
        in 0..6 -> arrive()
        in 7..10 -> endAttempt()
        11 -> beginStream()
        12 -> leave()
        13 -> changeEndpoint()
        14 -> publishAll()
        15 -> harness.feed(PublishedEvent.ReadFailed(null, "503"))
        16 -> if (random.nextBoolean()) harness.feed(PublishedEvent.HistoryLost) else lateEvent()
        17 -> answerReservation()
        18 -> pause()
        else -> report()
    }

    private fun arrive(): List<Effect> {
        val path = listOf(
            "/plain/",
            "/order/",
            "/once/",
            "/stream/",
            "/fixed/",
            "/none/"
        ).random(random)
        val id = RequestId("r${nextRequest++}")
        val route = harness.state.published.routes.find("a.example", path)
        requests[id] = Request(
            route?.repetition ?: Repetition.AT_MOST_ONCE,
            route?.maxAttempts ?: 0
        )
        if (route != null) arrivals += harness.now
        val prompt = listOf(100L, 5_000L, 210_000L, 900_000L).random(random)
        val head = headOf(path, prompt = prompt, deadline = random.nextInt(1, 12_000).milliseconds)
        return harness.arrive(id.value, head)
    }

    private fun endAttempt(): List<Effect> {
        val (id, request) = running() ?: return emptyList()
        val outcome = listOf(
            AttemptOutcome.Completed(200, Duration.ZERO),
            AttemptOutcome.Failed(500),
            AttemptOutcome.NotRun(503, misdirected = false),
            AttemptOutcome.NotRun(421, misdirected = true),
            AttemptOutcome.NeverSent("connect"),
            AttemptOutcome.Lost("reset"),
            AttemptOutcome.Broken("reset")
        ).filter { !request.begun || it is AttemptOutcome.Completed || it is AttemptOutcome.Broken }
            .random(random)
        val attempt = request.current!!
        request.current = null
        when (outcome) {
            is AttemptOutcome.Completed -> request.ended = true
            is AttemptOutcome.NeverSent -> request.sends--
            is AttemptOutcome.NotRun -> Unit
            else -> request.mayHaveRun = true
        }
        if (outcome is AttemptOutcome.Broken) request.begun = true
        return harness.feed(ForwardEvent.AttemptEnded(id, attempt, outcome))
    }

    private fun beginStream(): List<Effect> {
        val (id, request) = running() ?: return emptyList()
        request.begun = true
        request.mayHaveRun = true
        return harness.feed(ForwardEvent.StreamBegun(id, request.current!!))
    }

    private fun leave(): List<Effect> {
        val id = requests.entries.filter { !it.value.ended }.randomOrNull(random)?.key
            ?: return emptyList()
        requests.getValue(id).ended = true
        return harness.feed(ForwardEvent.CallerLeft(id))
    }

    /** An event of an attempt or a request that is over changes nothing for the caller. */
    private fun lateEvent(): List<Effect> {
        val id = requests.entries.filter { it.value.ended }.randomOrNull(random)?.key
            ?: return emptyList()
        val outcome = AttemptOutcome.Lost("late")
        return harness.feed(ForwardEvent.AttemptEnded(id, AttemptId(1), outcome))
    }

    private fun randomEndpoint(): EndpointRecord {
        val model = random.nextBoolean()
        return endpointOf(
            id = (if (model) "m" else "p") + random.nextInt(4),
            service = if (model) modelService else plainService,
            dataCentre = if (random.nextBoolean()) homeDataCentre else DataCentreId("away"),
            leaving = random.nextInt(5) == 0,
            coldRemaining = if (random.nextInt(4) == 0) 3.seconds else Duration.ZERO,
            startStamp = random.nextLong(0, 3)
        )
    }

    private fun changeEndpoint(): List<Effect> {
        val away = DataCentreId("away")
        val record = when (random.nextInt(7)) {
            0 -> PublishedRecord.EndpointRemoved(randomEndpoint().id)
            1 -> PublishedRecord.DataCentreOut(away)
            2 -> PublishedRecord.DataCentreBack(away)
            3 -> PublishedRecord.Unusable("servers/x", "state: unknown value")
            4 -> PublishedRecord.Table(sampleTable.copy(version = tableVersion()))
            else -> PublishedRecord.Endpoint(randomEndpoint())
        }
        return harness.change(record)
    }

    private fun tableVersion() = tableOf(random.nextLong(1, nextVersion + 1)).version

    private fun publishAll(): List<Effect> = harness.publish(
        tableOf(nextVersion++, *sampleTable.routes.toTypedArray()),
        List(random.nextInt(0, 8)) { randomEndpoint() }.distinctBy { it.id },
        maxOf(harness.state.published.revision.value + random.nextInt(-1, 3), 1)
    )

    private fun answerReservation(): List<Effect> {
        val id = reserved.randomOrNull(random) ?: return emptyList()
        return harness.feed(
            if (random.nextInt(3) == 0) {
                ReservationEvent.Refused(id, "409")
            } else {
                ReservationEvent.Reserved(id)
            }
        )
    }

    private fun pause(): List<Effect> {
        if (random.nextInt(4) != 0) return emptyList()
        harness.pause(random.nextInt(1, 20).seconds)
        return harness.wake()
    }

    private fun report(): List<Effect> = harness.feed(
        reportFrom(
            "10.0.0.${random.nextInt(2, 5)}",
            sequence = random.nextLong(1, 100),
            incarnation = "${random.nextInt(2)}",
            revision = Revision(random.nextLong(0, 50)),
            ready = random.nextBoolean(),
            loads = mapOf(EndpointId("m0") to EngineLoad(openRequests = random.nextInt(20)))
        )
    )

    private fun running() =
        requests.entries.filter { !it.value.ended && it.value.current != null }.randomOrNull(random)

    private fun watch(effects: List<Effect>) {
        for (effect in effects) {
            when (effect) {
                is ForwardEffect.Send -> sent(effect)

                is ForwardEffect.Abandon -> abandoned(effect)

                is ForwardEffect.Refuse -> refused(effect)

                is ForwardEffect.Cut -> ended(effect.request) {
                    check(it.begun, "an answer that had not begun was cut")
                }

                is ForwardEffect.RelayFailure -> ended(effect.request) {
                    check(!it.begun, "a failure was passed on into an answer that had begun")
                }

                is ReservationEffect.Reserve -> reserved += effect.reservation

                is ReservationEffect.Release -> reserved -= effect.reservation

                else -> Unit
            }
        }
    }

    private fun sent(effect: ForwardEffect.Send) {
        val request = requests.getValue(effect.request)
        check(!request.ended, "sent after its end")
        check(request.current == null, "sent to two endpoints at a time")
        val again = request.repetition != Repetition.AT_MOST_ONCE
        check(again || !request.mayHaveRun, "sent again though it may have run")
        check(!request.begun || request.repetition == Repetition.RESUMABLE, "joined two answers")
        if (request.sends > 0) {
            repeats += harness.now
            checkBudget()
        }
        request.sends++
        check(request.sends <= request.most, "sent to ${request.sends} of ${request.most}")
        request.current = effect.attempt
        checkEndpoint(effect.target.endpoint)
    }

    private fun checkEndpoint(id: EndpointId) {
        val endpoint = harness.state.endpoints[id] ?: fail("seed $seed: sent to a removed endpoint")
        val record = endpoint.record
        check(!record.leaving, "sent to a leaving endpoint")
        check(record.dataCentre !in harness.state.published.dataCentresOut, "sent to one out")
        check(!endpoint.misdirected, "sent to another endpoint's address")
        if (harness.now < endpoint.coldUntil && record.service == modelService) {
            val sends = coldSends.getOrPut(id) { ArrayList() }
            sends += harness.now
            // The published rate and its slack, as the platform counts them.
            val latest = sends.count { harness.now - it < 1.seconds }
            check(latest <= COLD_RATE * COLD_FACTOR + COLD_SLACK, "$latest sends to a cold engine")
        }
    }

    private fun checkBudget() {
        val bounds = sampleBounds
        val latest = repeats.count { harness.now - it <= bounds.retryWindow }
        val basis = arrivals.count { harness.now - it <= bounds.retryWindow * 2 }
        val most = bounds.retryRatio * basis + bounds.retryAllowance
        check(latest <= most + 1, "$latest repeats of $most")
    }

    private fun abandoned(effect: ForwardEffect.Abandon) {
        val request = requests.getValue(effect.request)
        if (request.current == effect.attempt) request.current = null
        request.mayHaveRun = true
    }

    private fun refused(effect: ForwardEffect.Refuse) = ended(effect.request) {
        check(!it.begun, "refused after its answer had begun")
        val notRun = effect.failure.runState == RunState.NOT_RUN
        check(!notRun || !it.mayHaveRun, "refused as not run though it may have run")
    }

    private fun ended(id: RequestId, look: (Request) -> Unit) {
        val request = requests.getValue(id)
        check(!request.ended, "ended twice")
        check(request.current == null, "ended while an attempt goes on")
        look(request)
        request.ended = true
    }

    private fun check(holds: Boolean, promise: String) =
        assertTrue(holds, "seed $seed at ${harness.now}: $promise")

    private companion object {
        const val COLD_RATE = 26
        const val COLD_FACTOR = 1.5
        const val COLD_SLACK = 5
    }
}
