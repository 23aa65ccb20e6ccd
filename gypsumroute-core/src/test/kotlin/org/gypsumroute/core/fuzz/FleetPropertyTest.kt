package org.gypsumroute.core.fuzz

import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.ActionChain
import org.gypsumroute.core.defaultPolicies

/**
 * Guards the invariants of docs/design.md, section 1.2, against faults that come together: late
 * wake-ups, restarts, silent and broken connections, partitions, lost cancels, raced documents.
 */
internal class FleetPropertyTest {
    @Property(tries = 300, seed = "20261204")
    fun `whatever happens, requests end once and truly, and engines lose nothing`(
        @ForAll("chains") chain: ActionChain<Fleet>
    ) {
        chain.withInvariant("what must hold at all times") { it.checkAlways() }.run()
            .endQuietly()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<Fleet>> = fleetChains(defaultPolicies, CHAIN_LENGTH)

    private companion object {
        const val CHAIN_LENGTH = 60
    }
}
