/*
 * Feeds random events to a gateway and checks its invariants after each: published records that
 * appear, disappear and contradict each other, a store that fails, pauses of the process, reports
 * of other gateways, and attempts that end in every possible way, also late.
 */
package org.gypsumroute.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import org.gypsumroute.core.FailingReducer

class GatewayPropertyTest {
    @Test
    fun `all invariants hold after any sequence of events`() {
        repeat(SEEDS) { seed -> RandomGatewayRun(seed).run(STEPS) }
    }

    /** Requests that were open at the end of a planned stop had no answer, or a part of one. */
    @Test
    fun `a planned stop at any moment ends each request once, and all before the exit`() {
        repeat(SEEDS) { seed ->
            val drainStep = Random(seed).nextInt(STEPS)
            RandomGatewayRun(seed, drainStep).run(STEPS)
        }
    }

    /** Guards against requests that nobody answers because the reducer failed on an event. */
    @Test
    fun `a request ends once and returns its memory if the reducer fails on any events`() {
        repeat(SEEDS) { seed ->
            RandomGatewayRun(
                seed,
                failures = FailingReducer(seed.toLong(), FAILURE_SHARE)
            ).run(STEPS)
        }
    }

    private companion object {
        const val FAILURE_SHARE = 0.05
        const val SEEDS = 300
        const val STEPS = 400
    }
}
