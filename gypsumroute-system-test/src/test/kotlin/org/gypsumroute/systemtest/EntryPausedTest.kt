package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * An entry is stopped past the deadlines of two requests: one has an open stream, the other's grant
 * arrives during the pause. Guards against requests that outlive their deadline (invariant 1) and
 * against work that an entry starts from a grant after the deadline (invariant 6).
 */
class EntryPausedTest {
    @Test
    fun `an entry that resumes after a deadline answers deadline_exceeded and starts no work`() {
        ProcessFleet(FleetPlan()).use { fleet ->
            val relay = fleet.relay("agent-1")
            fleet.start()
            val entry = fleet.entries.single()
            val engine = fleet.engines.single()
            engine.makeStreamsSilent(1)
            val runningCall = entry.stream("a menu that stalls", 40, 4.seconds)
            awaitUntil("the stream is open", 5.seconds) { engine.streams.size == 1 }
            val streamsBefore = engine.streams
            // The grant of the second request reaches the entry's socket during the pause and is
            // read when the entry resumes.
            relay.rule = { direction, kind ->
                val isGrant =
                    direction == Direction.TO_ENTRY && kind == FaultInjectingRelay.GRANT_ISSUED
                if (isGrant) FrameAction.HOLD else FrameAction.PASS
            }
            val waitingCall = entry.stream("a menu asked for", 40, 4.seconds)
            awaitUntil("the grant is held", 3.seconds) { relay.isHolding }
            fleet.process("entry-1").signal("STOP")
            relay.release()
            Thread.sleep(PAUSE_TIME.inWholeMilliseconds)
            fleet.process("entry-1").signal("CONT")

            val newStreams = mutableSetOf<String>()
            val resumedAt = TimeSource.Monotonic.markNow()
            while (resumedAt.elapsedNow() < OBSERVATION_TIME) {
                newStreams += engine.streams - streamsBefore
                Thread.sleep(SAMPLING_INTERVAL.inWholeMilliseconds)
            }
            val outcomes = listOf(runningCall, waitingCall).map { it.await(3.seconds) }
            assertEquals(
                listOf("deadline_exceeded", "deadline_exceeded"),
                outcomes.map { it.errorKind },
                fleet.logTails()
            )
            assertTrue(outcomes.none { it.isComplete })
            assertEquals(emptySet(), newStreams, "streams opened after the deadline")
            fleet.awaitEmptyEngines(15.seconds)
        }
    }

    private companion object {
        val PAUSE_TIME = 6.seconds
        val OBSERVATION_TIME = 2.seconds
        val SAMPLING_INTERVAL = 5.milliseconds
    }
}
