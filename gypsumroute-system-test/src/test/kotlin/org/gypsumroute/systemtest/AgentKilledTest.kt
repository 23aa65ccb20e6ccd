package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * An agent is killed while its engine serves one running stream and one that never ends. Guards
 * against streams that stay in the engine because the successor does not cancel them (invariant
 * 2), and against answers that are incomplete or wrong after the fault (invariant 5).
 */
class AgentKilledTest {
    @Test
    fun `after SIGKILL of an agent answers are complete and its engine is empty within 15 s`() {
        val plan = FleetPlan(
            engines = listOf(THAMEL, THAMEL),
            startedByTest = setOf("agent-2")
        )
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val entry = fleet.entries.single()
            val engine = fleet.engines.first()
            // This stream never ends on its own, so it shows whether the successor cancels it.
            engine.makeStreamsSilent(1)
            val silentCall = entry.stream("a menu that stalls", 40)
            awaitUntil("the stalled stream is open", 10.seconds) { engine.streams.size == 1 }
            val runningCall = entry.stream("a menu of many dishes", 600)
            runningCall.awaitTokens(50)
            fleet.startAgent("agent-2")
            awaitUntil("agent-2 is used", 15.seconds) { "agent-2" in entry.acceptingHosts }
            assertTrue(!runningCall.isDone, "the stream ended before the fault")

            fleet.process("agent-1").kill()
            fleet.startAgent("agent-1")
            val timeUntilEmpty = awaitUntil("engine 1 is empty", 15.seconds) { engine.isEmpty }

            val answers = listOf(runningCall to 600, silentCall to 40)
            for ((call, tokens) in answers) {
                val outcome = call.await(30.seconds)
                assertTrue(outcome.isComplete, "$outcome; ${fleet.logTails()}")
                assertEquals(numberedText(tokens), outcome.text)
            }
            println("engine empty $timeUntilEmpty after the successor's start")
        }
    }
}
