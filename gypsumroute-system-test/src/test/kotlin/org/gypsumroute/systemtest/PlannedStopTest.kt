package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * An agent with a prompt in a long prefill and an entry with streams receive SIGTERM. Guards
 * against a planned stop that cuts running requests or does not end with exit code 0 (invariant
 * 9), and against requests refused meanwhile with a wrong run state (invariants 6 and 8).
 */
class PlannedStopTest {
    @Test
    fun `SIGTERM of an agent in a long prefill and of an entry with streams cuts no request`() {
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
            val longCall = second.stream("dish ".repeat(LONG_BYTES / 5), 60)
            awaitUntil("the long prompt is in prefill", 10.seconds) { engine.streams.size == 1 }
            val streams = listOf(first, second).map { it.stream("a menu for ${it.name}", 300) }
            streams.forEach { it.awaitTokens(20) }

            val stoppingProcesses = listOf("agent-1", "entry-1").map { fleet.process(it) }
            stoppingProcesses.forEach { it.signal("TERM") }
            awaitUntil("entry-1 is not ready", 3.seconds) { !first.isReady }
            awaitUntil("agent-1 accepts nothing", 3.seconds) { second.acceptingHosts.isEmpty() }
            val refusedCalls = listOf(first, second).map { it.stream("too late", 10, 2.seconds) }
            for (call in refusedCalls) {
                val outcome = call.await(10.seconds)
                assertEquals("not_run", outcome.runState, "$outcome")
            }
            assertTrue(
                !longCall.isDone,
                "ended before the refusals: ${longCall.ended}; ${fleet.logTails()}"
            )

            for (call in streams) {
                val outcome = call.await(30.seconds)
                assertTrue(outcome.isComplete, "$outcome; ${fleet.logTails()}")
                assertEquals(numberedText(300), outcome.text)
            }
            val outcome = longCall.await(30.seconds)
            assertTrue(outcome.isComplete, "$outcome; ${fleet.logTails()}")
            assertEquals(numberedText(60), outcome.text)
            for (process in stoppingProcesses) {
                assertEquals(
                    0,
                    process.awaitExit(15.seconds),
                    process.name
                )
            }
            assertTrue(engine.isEmpty)
        }
    }

    /** Guards against a repeated SIGTERM, as platforms send it, that cuts open requests. */
    @Test
    fun `a repeated SIGTERM cuts no request`() {
        ProcessFleet(FleetPlan()).use { fleet ->
            fleet.start()
            val call = fleet.entries.single().stream("a menu", 300)
            call.awaitTokens(20)
            val stoppingProcesses = listOf("agent-1", "entry-1").map { fleet.process(it) }
            repeat(3) {
                stoppingProcesses.forEach { it.signal("TERM") }
                Thread.sleep(100)
            }
            val outcome = call.await(30.seconds)
            assertTrue(outcome.isComplete, "$outcome; ${fleet.logTails()}")
            assertEquals(numberedText(300), outcome.text)
            for (process in stoppingProcesses) assertEquals(0, process.awaitExit(15.seconds))
        }
    }

    /** Guards against streams that the end of the drain limit cuts without a final event. */
    @Test
    fun `a stream that outlasts the drain limit ends with an error that says that it ran`() {
        val plan = FleetPlan(entryOptions = listOf("--drain-limit", "3"))
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val call = fleet.entries.single().stream("a menu", 5000)
            call.awaitTokens(20)
            val process = fleet.process("entry-1")
            process.signal("TERM")
            val outcome = call.await(10.seconds)
            assertEquals("ran", outcome.runState, "$outcome; ${fleet.logTails()}")
            assertEquals(1, process.awaitExit(5.seconds))
        }
    }

    /** Guards against open requests that are cut by a closed terminal or a reload of a service. */
    @Test
    fun `SIGHUP of an agent and an entry is a planned stop`() {
        ProcessFleet(FleetPlan()).use { fleet ->
            fleet.start()
            val call = fleet.entries.single().stream("a menu", 300)
            call.awaitTokens(20)
            val stoppingProcesses = listOf("agent-1", "entry-1").map { fleet.process(it) }
            stoppingProcesses.forEach { it.signal("HUP") }
            val outcome = call.await(30.seconds)
            assertTrue(outcome.isComplete, "$outcome; ${fleet.logTails()}")
            assertEquals(numberedText(300), outcome.text)
            for (process in stoppingProcesses) assertEquals(0, process.awaitExit(15.seconds))
        }
    }

    private companion object {
        // 300,000 tokens, which take 15 s of prefill.
        const val LONG_BYTES = 1_200_000
    }
}
