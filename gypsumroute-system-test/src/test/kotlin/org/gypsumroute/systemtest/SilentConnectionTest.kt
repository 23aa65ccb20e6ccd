package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * The connection of a running stream loses all frames in one or both directions, without being
 * closed. Guards against answers that stay incomplete or are generated again in this case
 * (invariant 5).
 */
class SilentConnectionTest {
    @Test
    fun `a stream resumes over a new connection after frame loss in one or both directions`() {
        ProcessFleet(FleetPlan()).use { fleet ->
            val relay = fleet.relay("agent-1")
            fleet.start()
            val entry = fleet.entries.single()
            val droppedDirectionSets = listOf(
                arrayOf(Direction.TO_AGENT, Direction.TO_ENTRY),
                arrayOf(Direction.TO_ENTRY),
                arrayOf(Direction.TO_AGENT)
            )
            for (droppedDirections in droppedDirectionSets) {
                val call = entry.stream("a menu for ${droppedDirections.size} silent ways", 300)
                call.awaitTokens(50)
                relay.dropFrames(*droppedDirections)
                val outcome = call.await(25.seconds)
                val fault = droppedDirections.joinToString()
                assertTrue(outcome.isComplete, "$fault: $outcome; ${fleet.logTails()}")
                assertEquals(numberedText(300), outcome.text, fault)
            }
            // No request was moved: each stream was resumed on its engine and not generated again.
            val moveEvents = fleet.process("entry-1").logLines("\"request_moved\"")
            assertEquals(emptyList(), moveEvents)
            assertEquals(0, fleet.engines.single().streams.size)
        }
    }
}
