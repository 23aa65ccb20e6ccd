package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards invariant 2: engines leak no stream and no cache handle. */
class EntryKilledTest {
    @Test
    fun `SIGKILL of an entry with streams and a group leaves engines empty within 15 s`() {
        // Prefill is slow, so that a group's segments are in progress for several seconds.
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
            val group = entry.stream("dish ".repeat(GROUP_BYTES / 5), 100, 100.seconds)
            awaitUntil("the group holds a handle and a stream", 20.seconds) {
                fleet.engines.any { it.handles.isNotEmpty() } &&
                    fleet.engines.any { it.streams.isNotEmpty() }
            }
            // Silent streams would stay for good if nobody cancelled them.
            fleet.engines.forEach { it.silenceStreams(-1) }
            val streams = List(6) { entry.stream("menu $it", 50) }
            awaitUntil("streams are open", 10.seconds) {
                fleet.engines.sumOf { it.streams.size } >= 3
            }
            assertTrue(!group.isDone, "the group ended before the fault: ${fleet.tails()}")

            fleet.process("entry-1").kill()
            val empty = fleet.awaitEmptyEngines(15.seconds)
            println("engines empty $empty after the entry's death")
            val ends = (streams + group).map { it.await(5.seconds) }
            assertTrue(ends.none { it.whole })
        }
    }

    private companion object {
        const val GROUP_BYTES = 720_000
    }
}
