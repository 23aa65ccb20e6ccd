/*
 * Gateways in front of a store that goes away and comes back from an older copy, at any position of
 * a drawn order of changes. Guards against gateways that follow the store no more, go back to an
 * older table, use endpoints and data centres that they knew to be out, or read without a pause.
 *
 * The property `gypsumroute.return.rounds` multiplies the number of seeds, and
 * `gypsumroute.return.first` is the first of them.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test

class StoreReturnPropertyTest {
    private val rounds = System.getProperty("gypsumroute.return.rounds", "1").toInt()
    private val first = System.getProperty("gypsumroute.return.first", "1").toInt()

    private fun runAll(
        gateways: Int,
        seeds: Int,
        failedBefore: List<Int> = emptyList(),
        check: StoreReturnRun.() -> Unit
    ) {
        val drawn = first until first + seeds * rounds
        val failures = (failedBefore + drawn).distinct().mapNotNull { seed ->
            runCatching { StoreReturnRun(seed, gateways).check() }.exceptionOrNull()
        }
        failures.firstOrNull()?.let { example ->
            val all = failures.joinToString("\n") { "${it.message?.lineSequence()?.first()}" }
            throw AssertionError(
                "${failures.size} seeds failed:\n$all\n${example.message}",
                example
            )
        }
    }

    @Test
    fun `a gateway alone keeps the promises around any return of the store`() =
        runAll(1, SEEDS_OF_ONE) { run() }

    @Test
    fun `three gateways keep the promises around any return of the store`() =
        runAll(3, SEEDS_OF_THREE, failedBefore = listOf(187, 210, 435, 718)) { run() }

    @Test
    fun `many gateways keep the promises around any return of the store`() =
        runAll(MANY, SEEDS_OF_MANY, failedBefore = listOf(57)) { run() }

    /** Guards against one gateway that sends by what the others no longer hold. */
    @Test
    fun `a gateway that does not reach the store holds what the others hold in the end`() =
        runAll(3, SEEDS_OF_THREE) {
            run()
            checkCutOff()
        }

    private companion object {
        const val MANY = 21
        const val SEEDS_OF_ONE = 250
        const val SEEDS_OF_THREE = 120
        const val SEEDS_OF_MANY = 6
    }
}
