package org.gypsumroute.core.fuzz

import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.ActionChain
import org.gypsumroute.core.defaultPolicies

/**
 * Checks the invariants of docs/design.md, section 1.2, under combined faults: pauses, restarts,
 * silent and broken connections, partitions, lost cancels and conflicting documents.
 */
internal class FleetPropertyTest {
    @Property(tries = 300, seed = "20261204")
    fun `under any faults, requests end once with a true run state and engines keep no work`(
        @ForAll("chains") chain: ActionChain<Fleet>
    ) {
        chain.withInvariant("what must hold at all times") { it.checkInvariants() }.run()
            .recoverAndVerify()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<Fleet>> = fleetChains(defaultPolicies, CHAIN_LENGTH)

    private companion object {
        const val CHAIN_LENGTH = 60
    }
}
