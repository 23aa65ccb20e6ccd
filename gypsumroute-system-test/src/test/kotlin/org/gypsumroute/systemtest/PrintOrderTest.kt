package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Guards invariant 7: a print order runs at most once, and 6: its run state is true. */
class PrintOrderTest {
    @Test
    fun `a print order whose connection dies after dispatch runs once`() {
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
                val fatal =
                    direction == Direction.TO_AGENT && kind == FaultInjectingRelay.PROMPT_CHUNK
                if (fatal) FrameFate.PASS_AND_BREAK else FrameFate.PASS
            }
            relay.refuseAfterBreak = true
            val lost = first.call(ORDER_DESK, "/print-orders", body, key)
            assertEquals("action_outcome_unknown", lost.error("kind"), lost.body)
            assertEquals("unknown", lost.error("run_state"), lost.body)

            relay.rule = { _, _ -> FrameFate.PASS }
            relay.open = true
            awaitUntil("the second entry is connected", 20.seconds) {
                second.accepting.isNotEmpty()
            }
            val repeated = second.call(ORDER_DESK, "/print-orders", body, key)
            assertEquals(200, repeated.status, "${repeated.body}; ${fleet.tails()}")
            assertEquals(mapOf(body to 1), fleet.executionCounts("agent-1"))

            val former = second.status.objects("endpoints").single().texts("incarnation")
            fleet.process("agent-1").kill()
            fleet.startAgent("agent-1")
            awaitUntil("the second entry sees the successor", 20.seconds) {
                second.accepting.isNotEmpty() &&
                    second.status.objects("endpoints").single().texts("incarnation") != former
            }
            val late = second.call(ORDER_DESK, "/print-orders", body, key)
            assertEquals("action_outcome_unknown", late.error("kind"), late.body)
            assertEquals(mapOf(body to 1), fleet.executionCounts("agent-1"))
        }
    }
}
