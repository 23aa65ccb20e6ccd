package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards invariant 1 (requests end within their deadline) and 6 (no late work). */
class EntryPausedTest {
    @Test
    fun `an entry paused past a deadline answers deadline_exceeded and starts nothing`() {
        ProcessFleet(FleetPlan()).use { fleet ->
            val relay = fleet.relay("agent-1")
            fleet.start()
            val entry = fleet.entries.single()
            val engine = fleet.engines.single()
            engine.silenceStreams(1)
            val running = entry.stream("a menu that stalls", 40, 4.seconds)
            awaitUntil("the stream is open", 5.seconds) { engine.streams.size == 1 }
            val before = engine.streams
            // The grant of the second request waits unread until the entry wakes.
            relay.rule = { direction, kind ->
                val held =
                    direction == Direction.TO_ENTRY && kind == FaultInjectingRelay.GRANT_ISSUED
                if (held) FrameFate.HOLD else FrameFate.PASS
            }
            val asking = entry.stream("a menu asked for", 40, 4.seconds)
            awaitUntil("the grant is held", 3.seconds) { relay.holds }
            fleet.process("entry-1").signal("STOP")
            relay.release()
            Thread.sleep(PAUSE.inWholeMilliseconds)
            fleet.process("entry-1").signal("CONT")

            val opened = mutableSetOf<String>()
            val woken = TimeSource.Monotonic.markNow()
            while (woken.elapsedNow() < WATCHED) {
                opened += engine.streams - before
                Thread.sleep(SAMPLE.inWholeMilliseconds)
            }
            val outcomes = listOf(running, asking).map { it.await(3.seconds) }
            assertEquals(
                listOf("deadline_exceeded", "deadline_exceeded"),
                outcomes.map { it.errorKind },
                fleet.tails()
            )
            assertTrue(outcomes.none { it.whole })
            assertEquals(emptySet(), opened, "streams opened after the deadline")
            fleet.awaitEmptyEngines(15.seconds)
        }
    }

    private companion object {
        val PAUSE = 6.seconds
        val WATCHED = 2.seconds
        val SAMPLE = 5.milliseconds
    }
}
