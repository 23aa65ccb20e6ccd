package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * A connection breaks after a print order was dispatched; the caller repeats it through another
 * entry, and again after a restart of the agent. Guards against an order that is executed twice
 * (invariant 7) and against a wrong run state in the answer (invariant 6).
 */
class PrintOrderTest {
    @Test
    fun `a print order whose connection breaks after dispatch is executed once`() {
        val plan = FleetPlan(
            engines = emptyList(),
            plainServices = listOf(THAMEL),
            entries = listOf(THAMEL, PATAN),
            plainServiceOptions = listOf("--call-ms", "300"),
            documents = mapOf(ORDER_DESK to orderDesk())
        )
        ProcessFleet(plan).use { fleet ->
            val relay = fleet.relay("agent-1")
            fleet.start()
            val (first, second) = fleet.entries
            val body = """{"table":7,"dish":"momo"}"""
            val key = first.actionKey(ORDER_DESK)
            relay.rule = { direction, kind ->
                val isPromptChunk =
                    direction == Direction.TO_AGENT && kind == FaultInjectingRelay.PROMPT_CHUNK
                if (isPromptChunk) FrameAction.PASS_AND_BREAK else FrameAction.PASS
            }
            relay.refuseConnectionsAfterBreak = true
            val interruptedAnswer = first.call(ORDER_DESK, "/print-orders", body, key)
            assertEquals(
                "action_outcome_unknown",
                interruptedAnswer.error("kind"),
                interruptedAnswer.body
            )
            assertEquals("unknown", interruptedAnswer.error("run_state"), interruptedAnswer.body)

            relay.rule = { _, _ -> FrameAction.PASS }
            relay.acceptsConnections = true
            awaitUntil("the second entry is connected", 20.seconds) {
                second.acceptingHosts.isNotEmpty()
            }
            val repeatedAnswer = second.call(ORDER_DESK, "/print-orders", body, key)
            assertEquals(200, repeatedAnswer.status, "${repeatedAnswer.body}; ${fleet.logTails()}")
            assertEquals(mapOf(body to 1), fleet.executionCounts("agent-1"))

            val earlierIncarnation =
                second.status.objectArray("endpoints").single().stringField("incarnation")
            fleet.process("agent-1").kill()
            fleet.startAgent("agent-1")
            awaitUntil("the second entry sees the successor", 20.seconds) {
                second.acceptingHosts.isNotEmpty() &&
                    second.status.objectArray("endpoints").single().stringField("incarnation") !=
                    earlierIncarnation
            }
            val answerAfterRestart = second.call(ORDER_DESK, "/print-orders", body, key)
            assertEquals(
                "action_outcome_unknown",
                answerAfterRestart.error("kind"),
                answerAfterRestart.body
            )
            assertEquals(mapOf(body to 1), fleet.executionCounts("agent-1"))
        }
    }
}
