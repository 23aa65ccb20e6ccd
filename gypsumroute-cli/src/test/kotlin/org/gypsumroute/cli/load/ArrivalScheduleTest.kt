package org.gypsumroute.cli.load

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test

/** Guards against load runs that differ between repetitions or miss the configured rate and mix. */
class ArrivalScheduleTest {
    private val profile = LoadProfile.builtIn.getValue("menukala")

    @Test
    fun `the same seed yields the same plan`() {
        val first = planArrivals(profile, 50.0, 20.seconds, seed = 7)
        assertEquals(first, planArrivals(profile, 50.0, 20.seconds, seed = 7))
    }

    @Test
    fun `the plan has the configured rate and one long prompt in fifty`() {
        val plan = planArrivals(profile, 200.0, 100.seconds, seed = 3)
        assertTrue(plan.size in 19_400..20_600, "${plan.size} requests")
        val long = plan.count { it.promptTokens > 100_000 }
        assertTrue(long in 340..460, "$long long prompts")
    }

    @Test
    fun `percentiles of a row include only prompts in its length range`() {
        val outcomes = listOf(
            CallOutcome(0, 1_000, null, 1.seconds, emptyList(), 2.seconds),
            CallOutcome(1, 500_000, null, 9.seconds, emptyList(), 10.seconds)
        )
        val report = summarize(outcomes)
        assertEquals(2, report.rows.size)
        assertEquals(1_000.0, report.rows.first().firstToken.p95, 2.0)
    }
}
