package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * An agent is stopped for longer than its leases last, with one running stream and one grant whose
 * dispatch is still in the network. Guards against an agent that goes on with expired leases or
 * uses an expired grant when it resumes, which would leak streams (invariant 2), overload the
 * engine (invariant 3) or run work twice (invariant 5).
 */
class AgentPausedTest {
    @Test
    fun `an agent resumed after its leases expired uses neither them nor an earlier grant`() {
        val plan = FleetPlan(
            engines = listOf(THAMEL, THAMEL),
            startedByTest = setOf("agent-2")
        )
        ProcessFleet(plan).use { fleet ->
            val relay = fleet.relay("agent-1")
            fleet.start()
            val entry = fleet.entries.single()
            val engine = fleet.engines.first()
            val runningCall = entry.stream("a menu of many dishes", 500)
            runningCall.awaitTokens(20)
            val streamsBefore = engine.streams
            // The relay holds back the dispatch of the second request, so that its grant stays
            // unused.
            relay.rule = { direction, kind ->
                val isDispatch =
                    direction == Direction.TO_AGENT && kind == FaultInjectingRelay.DISPATCH
                if (isDispatch) FrameAction.HOLD else FrameAction.PASS
            }
            val grantedCall = entry.stream("a menu with a late dispatch", 100)
            awaitUntil("the dispatch is held", 5.seconds) { relay.isHolding }
            fleet.process("agent-1").signal("STOP")
            fleet.startAgent("agent-2")

            // The pause must be longer than the lease time of 10 s.
            Thread.sleep(PAUSE_TIME.inWholeMilliseconds)
            val moveEvents = fleet.process("entry-1").logLines("\"request_moved\"")
            assertTrue(moveEvents.size >= 2, "not moved: ${fleet.logTails()}")
            relay.release()
            fleet.process("agent-1").signal("CONT")

            val newStreams = mutableSetOf<String>()
            val resumedAt = TimeSource.Monotonic.markNow()
            while (resumedAt.elapsedNow() < OBSERVATION_TIME) {
                newStreams += engine.streams - streamsBefore
                Thread.sleep(SAMPLING_INTERVAL.inWholeMilliseconds)
            }
            assertEquals(emptySet(), newStreams, "streams opened after the pause")
            for ((call, tokens) in listOf(runningCall to 500, grantedCall to 100)) {
                val outcome = call.await(40.seconds)
                assertTrue(outcome.isComplete, "$outcome; ${fleet.logTails()}")
                assertEquals(numberedText(tokens), outcome.text)
            }
            fleet.awaitEmptyEngines(15.seconds)
        }
    }

    private companion object {
        val PAUSE_TIME = 12.seconds
        val OBSERVATION_TIME = 3.seconds
        val SAMPLING_INTERVAL = 5.milliseconds
    }
}
