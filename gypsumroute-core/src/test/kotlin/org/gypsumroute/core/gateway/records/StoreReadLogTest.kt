/*
 * What the log says of reads of the store, so that an operator can tell a store that came back from
 * an older copy from one that drops its history early.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.EraProblem
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.StoreEra
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.readyHarness

class StoreReadLogTest {
    private fun GatewayHarness.fieldsOf(event: LogEvent): Map<String, String>? = effects
        .filterIsInstance<RuntimeEffect.Log>().singleOrNull { it.event == event }
        ?.fields?.associate { it.name to it.value }

    @Test
    fun `a lost history is logged with the fruitless answers and the age of the records`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.advance(50.milliseconds)
        val era = AnsweredEra(StoreEra(2))
        harness.feed(PublishedEvent.HistoryLost(harness.latestRead, era))
        harness.feed(PublishedEvent.HistoryLost(harness.latestRead, era))
        val fields = harness.fieldsOf(LogEvent.HISTORY_LOST)
        assertEquals("2", fields?.get("fruitless"))
        assertEquals("2", fields?.get("era"))
        assertEquals("50ms", fields?.get("unchanged"))
    }

    @Test
    fun `a change of the era is logged once`() {
        val harness = readyHarness(endpointOf("e1"))
        val failed = PublishedEvent.ReadFailed(
            harness.latestRead,
            "503",
            era = AnsweredEra(StoreEra(4))
        )
        harness.feed(failed)
        val fields = harness.fieldsOf(LogEvent.STORE_ERA_CHANGED)
        assertEquals(listOf("0", "4"), listOf(fields?.get("before"), fields?.get("after")))
        harness.feed(failed)
        assertEquals(null, harness.fieldsOf(LogEvent.STORE_ERA_CHANGED))
    }

    @Test
    fun `an unusable era is logged once and counted each time`() {
        val harness = readyHarness(endpointOf("e1"))
        val odd = AnsweredEra(StoreEra.NONE, EraProblem.UNREADABLE)
        repeat(3) { round ->
            harness.feed(PublishedEvent.HistoryLost(harness.latestRead, odd))
            val logged = harness.fieldsOf(LogEvent.STORE_ERA_UNUSABLE)
            assertEquals(if (round == 0) "unreadable" else null, logged?.get("problem"))
            val counts = harness.effects.filterIsInstance<RuntimeEffect.Count>()
            assertEquals(1, counts.count { it.labels.outcome == "unreadable" })
        }
    }
}
