package org.gypsumroute.core.fuzz

import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
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
        val fleet = chain.withInvariant("what must hold at all times") { it.checkAlways() }.run()
        fleet.heal()
        fleet.schedule.advance(QUIET_TIME)
        fleet.checkAlways()
        fleet.checkQuiet()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<Fleet>> = fleetChains(defaultPolicies, CHAIN_LENGTH)

    private fun Fleet.checkAlways() {
        assertEquals(emptyList(), oracle.faults)
        val overdue = oracle.overdue(schedule.now) { host ->
            entries.first { it.record.host == host }.let { !it.serving }
        }
        assertEquals(emptyList(), overdue, "requests past their deadline")
        assertEquals(0, agents.sumOf { it.engine.collapses }, "engine collapses")
    }

    private fun Fleet.checkQuiet() {
        assertEquals(emptyList(), oracle.open(), "requests without an end")
        for (agent in agents) {
            assertEquals(emptyMap(), agent.engine.streams, "streams left on ${agent.engine.name}")
            assertEquals(emptyMap(), agent.engine.handles, "handles left on ${agent.engine.name}")
        }
        for (process in processes.filter { it.serving }) {
            val stamps = process.state.common.documents.stamps()
            val newest = stamps.keys.associateWith { platform.newest(it)?.stamp }
            assertEquals<Map<*, *>>(newest, stamps, "documents of ${process.record.host}")
        }
    }

    private companion object {
        const val CHAIN_LENGTH = 60
        val QUIET_TIME = 90.seconds
    }
}
