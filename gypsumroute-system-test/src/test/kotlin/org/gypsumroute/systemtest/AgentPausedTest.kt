package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards invariants 2 (engines leak nothing), 3 and 5 (answers are whole, nothing twice). */
class AgentPausedTest {
    @Test
    fun `an agent paused past its leases loses its work and uses no earlier grant`() {
        val plan = FleetPlan(
            engines = listOf(THAMEL, THAMEL),
            startedLater = setOf("agent-2")
        )
        ProcessFleet(plan).use { fleet ->
            val relay = fleet.relay("agent-1")
            fleet.start()
            val entry = fleet.entries.single()
            val engine = fleet.engines.first()
            val running = entry.stream("a menu of many dishes", 500)
            running.awaitTokens(20)
            val before = engine.streams
            // The dispatch of the second request stays on its way, so its grant is not used.
            relay.rule = { direction, kind ->
                val held = direction == Direction.TO_AGENT && kind == FaultInjectingRelay.DISPATCH
                if (held) FrameFate.HOLD else FrameFate.PASS
            }
            val granted = entry.stream("a menu with a late dispatch", 100)
            awaitUntil("the dispatch is held", 5.seconds) { relay.holds }
            fleet.process("agent-1").signal("STOP")
            fleet.startAgent("agent-2")

            // The lease time (10 s) is what the agent must sleep through.
            Thread.sleep(PAUSE.inWholeMilliseconds)
            val moved = fleet.process("entry-1").logged("\"request_moved\"")
            assertTrue(moved.size >= 2, "not moved: ${fleet.tails()}")
            relay.release()
            fleet.process("agent-1").signal("CONT")

            val opened = mutableSetOf<String>()
            val woken = TimeSource.Monotonic.markNow()
            while (woken.elapsedNow() < WATCHED) {
                opened += engine.streams - before
                Thread.sleep(SAMPLE.inWholeMilliseconds)
            }
            assertEquals(emptySet(), opened, "streams opened after the pause")
            for ((call, tokens) in listOf(running to 500, granted to 100)) {
                val outcome = call.await(40.seconds)
                assertTrue(outcome.whole, "$outcome; ${fleet.tails()}")
                assertEquals(numberedText(tokens), outcome.text)
            }
            fleet.awaitEmptyEngines(15.seconds)
        }
    }

    private companion object {
        val PAUSE = 12.seconds
        val WATCHED = 3.seconds
        val SAMPLE = 5.milliseconds
    }
}
