package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * All 16 agents restart at once under load, beside engines that collapse above two streams while
 * they are cold. Guards against entries that send a newly started endpoint more than it can handle
 * (invariant 3).
 */
class ColdRestartTest {
    @Test
    fun `16 agents that restart at once with cold engines overload none of them`() {
        val plan = FleetPlan(
            engines = List(AGENTS) { if (it % 2 == 0) THAMEL else PATAN },
            entries = listOf(THAMEL, PATAN),
            engineOptions = listOf("--cold-streams", "2"),
            documents = mapOf(MENU_WRITER to menuWriter(initialShare = 0.0625))
        )
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val load = Load(fleet.entries, tokens = 40, promptBytes = 4000)
            awaitUntil("engines are used", 10.seconds) {
                fleet.engines.count { it.streams.isNotEmpty() } >= AGENTS / 2
            }
            fleet.agentProcesses.forEach { it.kill() }
            // Streams admitted while the engines were warm would make them collapse once they are
            // cold.
            fleet.awaitEmptyEngines(5.seconds)
            fleet.engines.forEach { it.turnCold(COLD_TOKENS) }
            fleet.engines.indices.forEach { fleet.startAgent("agent-${it + 1}") }
            awaitUntil("agents are used again", 30.seconds) {
                fleet.entries.all { it.acceptingHosts.size == AGENTS }
            }
            Thread.sleep(LOAD_TIME.inWholeMilliseconds)
            val outcomes = load.stop()
            assertEquals(List(AGENTS) { 0 }, fleet.engines.map { it.collapses })
            assertTrue(outcomes.count { it.isComplete } > AGENTS, fleet.logTails())
            fleet.awaitEmptyEngines(15.seconds)
        }
    }

    private companion object {
        const val AGENTS = 16
        const val COLD_TOKENS = 20_000L
        val LOAD_TIME = 4.seconds
    }
}
