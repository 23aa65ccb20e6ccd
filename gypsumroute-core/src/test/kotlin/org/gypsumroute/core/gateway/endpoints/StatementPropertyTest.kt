/*
 * What endpoints state of themselves, in any order with records, reports and time. The test keeps
 * its own account of the statements, so that it does not repeat the reducer's view of them.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.Moment
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReportedLeaving
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.attempts.send
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom

class StatementPropertyTest {
    /** Guards against requests to endpoints that stated that they leave, or asked for a pause. */
    @Test
    fun `no sequence of records and reports lets requests pass a statement`() {
        (KEPT_SEEDS + (0 until SEEDS)).forEach { seed -> StatementRun(seed).run(STEPS) }
    }

    private companion object {
        /** Seeds that failed once. */
        val KEPT_SEEDS = listOf(2, 696)
        val SEEDS = Integer.getInteger("statement.seeds", 300)
        const val STEPS = 120
    }
}

/** A gateway before [ids] with random events; the time of day is the time since its start. */
private class StatementRun(private val seed: Int) {
    private val random = Random(seed)
    private val ids = listOf("e1", "e2", "e3")
    private val harness = readyHarness(*ids.map { endpointOf(it) }.toTypedArray())
    private val starts = ids.associateWith { mutableListOf<Long?>(1) }

    /** The latest start of each endpoint that can have stated that it leaves. */
    private val leavesUpTo = HashMap<String, Long>()
    private val pauses = HashMap<Pair<String, Long?>, Moment>()
    private var nextRequest = 0

    fun run(steps: Int) = repeat(steps) {
        when (random.nextInt(8)) {
            0 -> publish()

            1 -> harness.feedChanges(
                PublishedRecord.EndpointRemoved(EndpointId(ids.random(random)))
            )

            2 -> harness.failRead()

            3 -> stateLeaving()

            4 -> statePause()

            5 -> report()

            else -> arrive()
        }
        harness.advance(random.nextInt(0, 300).milliseconds)
    }

    private fun recordOf(id: String) = harness.state.endpoints[EndpointId(id)]?.record

    private fun randomStart(): Long? = when (random.nextInt(6)) {
        0 -> null
        1 -> 1
        else -> (harness.now.milliseconds + random.nextLong(-4000, 500)).coerceAtLeast(1)
    }

    private fun publish() {
        val id = ids.random(random)
        val start = randomStart()
        starts.getValue(id) += start
        harness.feedChanges(PublishedRecord.Endpoint(endpointOf(id, startStamp = start)))
    }

    private fun stateLeaving() {
        val id = ids.random(random)
        val start = starts.getValue(id).random(random)
        val now = harness.now.milliseconds
        val published = recordOf(id)?.startedAt?.milliseconds
        val isOfEarlierStart = start != null && published != null && published > start
        val upTo = if (isOfEarlierStart) start!! else maxOf(start ?: 0, now)
        leavesUpTo[id] = maxOf(leavesUpTo[id] ?: 0, upTo)
        harness.feed(stated(id, start, EndpointStatement.Leaving))
    }

    private fun statePause() {
        val id = ids.random(random)
        val start = recordOf(id)?.startedAt?.milliseconds
        val time = random.nextInt(100, 3000).milliseconds
        val key = id to start
        if (recordOf(id) != null) {
            pauses[key] = maxOf(pauses[key] ?: Moment.START, harness.now + time)
        }
        harness.feed(stated(id, start, EndpointStatement.Pause(time)))
    }

    private fun stated(id: String, start: Long?, statement: EndpointStatement) =
        ForwardEvent.EndpointStated(EndpointId(id), start?.let { UnixTime(it) }, statement)

    private fun report() {
        val event = reportFrom("10.0.0.2", sequence = nextRequest++.toLong() + 1)
        val leaving = ReportedLeaving(
            EndpointId(ids.random(random)),
            randomStart()?.let { UnixTime(it) },
            random.nextInt(0, 2000).milliseconds
        )
        harness.feed(event.copy(report = event.report.copy(leaving = listOf(leaving))))
    }

    private fun arrive() {
        harness.arrive("${nextRequest++}")
        for (send in harness.sends) verify(send.target.endpoint.value)
    }

    private fun verify(id: String) {
        val start = recordOf(id)?.startedAt?.milliseconds
        val upTo = leavesUpTo[id]
        val label = "seed $seed at ${harness.now}: $id, start $start"
        assertTrue(upTo == null || (start != null && start > upTo), "$label, leaves up to $upTo")
        val pausedUntil = pauses[id to start]
        assertTrue(pausedUntil == null || harness.now >= pausedUntil, "$label, pauses")
    }
}
