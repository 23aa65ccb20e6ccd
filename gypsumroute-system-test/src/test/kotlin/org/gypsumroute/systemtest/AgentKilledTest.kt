package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards invariants 2 (engines leak nothing) and 5 (callers get complete answers). */
class AgentKilledTest {
    @Test
    fun `SIGKILL of an agent leaves answers whole and the engine empty within 15 s`() {
        val plan = FleetPlan(
            engines = listOf(THAMEL, THAMEL),
            startedLater = setOf("agent-2")
        )
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val entry = fleet.entries.single()
            val engine = fleet.engines.first()
            // A stream that never ends by itself shows whether the successor cancels it.
            engine.silenceStreams(1)
            val silent = entry.stream("a menu that stalls", 40)
            awaitUntil("the stalled stream is open", 10.seconds) { engine.streams.size == 1 }
            val running = entry.stream("a menu of many dishes", 600)
            running.awaitTokens(50)
            fleet.startAgent("agent-2")
            awaitUntil("agent-2 is used", 15.seconds) { "agent-2" in entry.accepting }
            assertTrue(!running.isDone, "the stream ended before the fault")

            fleet.process("agent-1").kill()
            fleet.startAgent("agent-1")
            val empty = awaitUntil("engine 1 is empty", 15.seconds) { engine.isEmpty }

            val answers = listOf(running to 600, silent to 40)
            for ((call, tokens) in answers) {
                val outcome = call.await(30.seconds)
                assertTrue(outcome.whole, "$outcome; ${fleet.tails()}")
                assertEquals(numberedText(tokens), outcome.text)
            }
            println("engine empty $empty after the successor's start")
        }
    }
}
