/*
 * Feeds a gateway events whose figures are as small or as large as the protocols allow. Guards
 * against requests that nobody answers because a figure that no test or deployment has makes the
 * reducer fail, and against answers that never come.
 */
package org.gypsumroute.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.Event
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.ReservationId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.SettingsEvent

class GatewayExtremesTest {
    private val rounds = System.getProperty("gypsumroute.random.rounds", "1").toInt()

    @Test
    fun `every accepted request ends whatever the figures are`() {
        repeat(SEEDS * rounds) { seed -> ExtremeRun(seed, maxEndpoints = 24).run(STEPS) }
    }

    /** Placement looks at groups of endpoints, so their number matters. */
    @Test
    fun `every accepted request ends with very many endpoints and parts`() {
        repeat(rounds) { seed -> ExtremeRun(seed, maxEndpoints = 3000).run(STEPS_AT_MANY) }
    }

    private companion object {
        const val SEEDS = 300
        const val STEPS = 150
        const val STEPS_AT_MANY = 60
    }
}

/** One random sequence of events; the harness does not recover from exceptions of the reducer. */
private class ExtremeRun(private val seed: Int, maxEndpoints: Int) {
    private val random = Random(seed)
    private val extremes = Extremes(random, maxEndpoints)
    private val harness = GatewayHarness()
    private val ends = HashMap<RequestId, Int>()
    private val reservations = ArrayList<ReservationId>()
    private var nextRequest = 0
    private var revision = 1L

    fun run(steps: Int) {
        feed(RuntimeEvent.Started)
        feed(
            PublishedEvent.SnapshotRead(
                harness.latestRead,
                Revision(revision),
                extremes.allRecords()
            )
        )
        repeat(steps) {
            feed(randomEvent())
            if (random.nextInt(4) == 0) advance(extremes.duration(LONGEST_ADVANCE))
        }
        advance(LONGEST_TIMEOUT + LONGEST_ADVANCE)
        val open = harness.state.requests.keys
        assertTrue(open.isEmpty(), "seed $seed: requests are open after their deadline: $open")
        val wrong = ends.filterValues { it != 1 }
        assertTrue(wrong.isEmpty(), "seed $seed: ends of requests: $wrong")
    }

    private fun feed(event: Event) = note(event) { harness.feed(event) }

    private fun advance(time: Duration) = note("advance by $time") { harness.advance(time) }

    private fun note(what: Any, action: () -> List<Effect>) {
        val effects = try {
            action()
        } catch (exception: RuntimeException) {
            fail("seed $seed: the reducer failed on $what".take(MAX_MESSAGE), exception)
        }
        for (effect in effects) {
            when (effect) {
                is ForwardEffect.Refuse -> end(effect.request)
                is ForwardEffect.Cut -> end(effect.request)
                is ForwardEffect.RelayFailure -> end(effect.request)
                is ReservationEffect.Reserve -> reservations += effect.reservation
                else -> Unit
            }
        }
    }

    private fun end(request: RequestId) {
        ends.merge(request, 1, Int::plus)
    }

    private fun randomEvent(): Event = when (random.nextInt(16)) {
        in 0..4 -> arrival()

        in 5..7 -> attemptEvent()

        8 -> PublishedEvent.ChangesRead(
            harness.latestRead,
            harness.state.published.position,
            Revision(++revision),
            extremes.someRecords()
        )

        9 -> PublishedEvent.SnapshotRead(
            harness.latestRead,
            Revision(++revision),
            extremes.allRecords()
        )

        10, 11 -> extremes.statement()

        12 -> reservationEvent()

        13 -> SettingsEvent.Changed(extremes.bounds(), extremes.addresses())

        14 -> ForwardEvent.CallerLeft(openRequest() ?: RequestId("none")).also {
            if (it.request in harness.state.requests) end(it.request)
        }

        else -> extremes.report()
    }

    private fun arrival(): Event {
        val id = RequestId("r${nextRequest++}")
        ends[id] = 0
        return ForwardEvent.Arrived(id, extremes.head(), extremes.bodySize())
    }

    private fun openRequest(): RequestId? = harness.state.requests.keys.randomOrNull(random)

    private fun attemptEvent(): Event {
        val request = openRequest() ?: return arrival()
        val record = harness.state.requests.getValue(request)
        val attempt = record.openAttempts.randomOrNull(random)?.id ?: AttemptId(1)
        val isOpen = record.openAttempts.any { it.id == attempt }
        return when (random.nextInt(6)) {
            0 -> ForwardEvent.StreamBegun(request, attempt)

            1 -> ForwardEvent.AttemptStalled(request, attempt)

            2 -> {
                if (isOpen) end(request)
                val outcome = AttemptOutcome.Completed(200, extremes.duration())
                ForwardEvent.AttemptEnded(request, attempt, outcome)
            }

            else -> ForwardEvent.AttemptEnded(request, attempt, extremes.failure())
        }
    }

    private fun reservationEvent(): Event {
        val reservation = reservations.randomOrNull(random) ?: ReservationId("none")
        return when (random.nextInt(3)) {
            0 -> ReservationEvent.Refused(reservation, "409")
            1 -> ReservationEvent.Released(reservation, null)
            else -> ReservationEvent.Reserved(reservation)
        }
    }

    private companion object {
        val LONGEST_ADVANCE = 1.minutes
        val LONGEST_TIMEOUT = 2.minutes
        const val MAX_MESSAGE = 2000
    }
}
