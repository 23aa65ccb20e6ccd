package org.gypsumroute.core.gateway.attempts

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.gypsumroute.api.Moment

class RetryBudgetTest {
    /**
     * Guards against gateways that each keep to the limit but exceed it together: they receive
     * random requests and retry whenever their budget allows it.
     */
    @Property(tries = 200)
    fun `gateways together stay within the limit in every window`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 5) gateways: Int
    ) {
        val random = Random(seed)
        val budgets = MutableList(gateways) { RetryBudget() }
        val requests = ArrayList<Moment>()
        val retries = ArrayList<Moment>()
        var now = Moment.START
        repeat(STEPS) {
            now += random.nextInt(MAX_STEP_MS).milliseconds
            val gateway = random.nextInt(gateways)
            if (random.nextInt(100) < 60) {
                budgets[gateway] = budgets[gateway].withRequest(now, 2.seconds)
                requests += now
            } else if (budgets[gateway].allows(now, 2.seconds, RATIO, ALLOWANCE / gateways)) {
                budgets[gateway] = budgets[gateway].withRetry(now, 2.seconds)
                retries += now
            }
        }
        for (end in retries) {
            val inWindow = retries.count { end - it in 0.seconds..2.seconds }
            val nearbyRequests = requests.count { end - it in 0.seconds..4.seconds }
            assertTrue(
                inWindow <= RATIO * nearbyRequests + ALLOWANCE,
                "$inWindow retries, $nearbyRequests requests"
            )
        }
    }

    @Test
    fun `the allowance permits retries while there are few requests`() {
        var budget = RetryBudget()
        var granted = 0
        repeat(20) {
            if (budget.allows(Moment.START, 2.seconds, RATIO, 5.0)) {
                budget = budget.withRetry(Moment.START, 2.seconds)
                granted++
            }
        }
        assertTrue(granted == 5)
    }

    /** Guards against retries that are forgotten before the window that they count in is over. */
    @Test
    fun `retries count for the whole of a long window`() {
        val window = 5.minutes
        var budget = RetryBudget()
        var granted = 0
        repeat(299) { second ->
            val now = Moment.START + second.seconds
            budget = budget.withRequest(now, window)
            if (budget.allows(now, window, ratio = 0.0, allowance = 10.0)) {
                budget = budget.withRetry(now, window)
                granted++
            }
        }
        assertEquals(10, granted)
    }

    private companion object {
        const val STEPS = 400
        const val MAX_STEP_MS = 200
        const val RATIO = 0.2
        const val ALLOWANCE = 6.0
    }
}
