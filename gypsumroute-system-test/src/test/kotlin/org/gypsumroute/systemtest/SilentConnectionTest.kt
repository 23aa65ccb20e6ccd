package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards invariant 5: an answer is whole although its connection goes silent for good. */
class SilentConnectionTest {
    @Test
    fun `a stream resumes over a fresh connection after silence in both or one direction`() {
        ProcessFleet(FleetPlan()).use { fleet ->
            val relay = fleet.relay("agent-1")
            fleet.start()
            val entry = fleet.entries.single()
            val faults = listOf(
                arrayOf(Direction.TO_AGENT, Direction.TO_ENTRY),
                arrayOf(Direction.TO_ENTRY),
                arrayOf(Direction.TO_AGENT)
            )
            for (silenced in faults) {
                val running = entry.stream("a menu for ${silenced.size} silent ways", 300)
                running.awaitTokens(50)
                relay.silence(*silenced)
                val outcome = running.await(25.seconds)
                val fault = silenced.joinToString()
                assertTrue(outcome.whole, "$fault: $outcome; ${fleet.tails()}")
                assertEquals(numberedText(300), outcome.text, fault)
            }
            // Each stream stayed on its engine: it was resumed, not generated again.
            val moved = fleet.process("entry-1").logged("\"request_moved\"")
            assertEquals(emptyList(), moved)
            assertEquals(0, fleet.engines.single().streams.size)
        }
    }
}
