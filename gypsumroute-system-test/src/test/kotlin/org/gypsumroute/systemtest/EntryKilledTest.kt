package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * An entry is killed while it uses a group of engines and while streams are open that never end on
 * their own. Guards against streams and cache handles that stay in the engines because no one
 * cancels or releases them (invariant 2).
 */
class EntryKilledTest {
    @Test
    fun `after SIGKILL of an entry with streams and a group the engines are empty within 15 s`() {
        // With slow prefill, the segments of a group take several seconds.
        val plan = FleetPlan(
            engines = listOf(THAMEL, THAMEL, THAMEL),
            engineOptions = listOf(
                "--memory-tokens",
                "100000",
                "--prefill-tokens-per-second",
                "20000"
            )
        )
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val entry = fleet.entries.single()
            val groupCall = entry.stream("dish ".repeat(GROUP_BYTES / 5), 100, 100.seconds)
            awaitUntil("the group holds a handle and a stream", 20.seconds) {
                fleet.engines.any { it.handles.isNotEmpty() } &&
                    fleet.engines.any { it.streams.isNotEmpty() }
            }
            // Silent streams stay in the engines forever unless they are cancelled.
            fleet.engines.forEach { it.makeStreamsSilent(-1) }
            val streams = List(6) { entry.stream("menu $it", 50) }
            awaitUntil("streams are open", 10.seconds) {
                fleet.engines.sumOf { it.streams.size } >= 3
            }
            assertTrue(!groupCall.isDone, "the group ended before the fault: ${fleet.logTails()}")

            fleet.process("entry-1").kill()
            val timeUntilEmpty = fleet.awaitEmptyEngines(15.seconds)
            println("engines empty $timeUntilEmpty after the entry's death")
            val outcomes = (streams + groupCall).map { it.await(5.seconds) }
            assertTrue(outcomes.none { it.isComplete })
        }
    }

    private companion object {
        const val GROUP_BYTES = 720_000
    }
}
