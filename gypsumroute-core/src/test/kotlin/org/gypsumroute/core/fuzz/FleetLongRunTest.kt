package org.gypsumroute.core.fuzz

import java.util.Random
import kotlin.test.assertTrue
import net.jqwik.api.Example
import org.gypsumroute.core.defaultPolicies

/**
 * The fleet property with a chosen seed and number of chains; `bin/fuzz` sets both. An ordinary
 * build runs 50 chains and checks that the fleet answers more than a third of the requests despite
 * faults.
 */
internal class FleetLongRunTest {
    @Example
    fun `chains of a chosen seed keep the invariants of the fleet`() {
        val seed = System.getProperty("gypsumroute.fuzz.seed", "1").toLong()
        val chains = System.getProperty("gypsumroute.fuzz.chains", "50").toInt()
        val generator = fleetChains(defaultPolicies, CHAIN_LENGTH).generator(GENERATOR_SIZE, true)
        val outcomes = mutableMapOf<String, Int>()
        repeat(chains) { number ->
            val chain = generator.next(Random(seed + number)).value()
            try {
                val fleet = chain.withInvariant("at all times") { it.checkInvariants() }.run()
                fleet.recoverAndVerify()
                fleet.oracle.outcomes().forEach { outcomes.merge(it.key, it.value, Int::plus) }
            } catch (failure: AssertionError) {
                throw AssertionError("seed ${seed + number}: ${chain.transformations()}", failure)
            }
        }
        println("outcomes of $chains chains from seed $seed: $outcomes")
        assertTrue((outcomes["ok"] ?: 0) * 3 > outcomes.values.sum(), "too few answers: $outcomes")
    }

    private companion object {
        const val CHAIN_LENGTH = 60
        const val GENERATOR_SIZE = 1_000
    }
}
