package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards invariants 9 (a planned stop cuts nothing, exit code 0), 6 and 8. */
class PlannedStopTest {
    @Test
    fun `SIGTERM of an agent in a long prefill and of an entry with streams cuts nothing`() {
        val plan = FleetPlan(
            entries = listOf(THAMEL, THAMEL),
            engineOptions = listOf(
                "--memory-tokens",
                "1000000",
                "--prefill-tokens-per-second",
                "20000"
            )
        )
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val (first, second) = fleet.entries
            val engine = fleet.engines.single()
            val long = second.stream("dish ".repeat(LONG_BYTES / 5), 60)
            awaitUntil("the long prompt is in prefill", 10.seconds) { engine.streams.size == 1 }
            val streams = listOf(first, second).map { it.stream("a menu for ${it.name}", 300) }
            streams.forEach { it.awaitTokens(20) }

            val stopping = listOf("agent-1", "entry-1").map { fleet.process(it) }
            stopping.forEach { it.signal("TERM") }
            awaitUntil("entry-1 is not ready", 3.seconds) { !first.isReady }
            awaitUntil("agent-1 accepts nothing", 3.seconds) { second.accepting.isEmpty() }
            val refused = listOf(first, second).map { it.stream("too late", 10, 2.seconds) }
            for (call in refused) {
                val outcome = call.await(10.seconds)
                assertEquals("not_run", outcome.runState, "$outcome")
            }
            assertTrue(!long.isDone, "ended before the refusals: ${long.ended}; ${fleet.tails()}")

            for (call in streams) {
                val outcome = call.await(30.seconds)
                assertTrue(outcome.whole, "$outcome; ${fleet.tails()}")
                assertEquals(numberedText(300), outcome.text)
            }
            val outcome = long.await(30.seconds)
            assertTrue(outcome.whole, "$outcome; ${fleet.tails()}")
            assertEquals(numberedText(60), outcome.text)
            for (process in stopping) assertEquals(0, process.awaitExit(15.seconds), process.name)
            assertTrue(engine.isEmpty)
        }
    }

    private companion object {
        // 300,000 tokens: fifteen seconds of prefill.
        const val LONG_BYTES = 1_200_000
    }
}
