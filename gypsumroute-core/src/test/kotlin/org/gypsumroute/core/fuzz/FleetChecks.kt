/*
 * Invariants of the fleet: those that hold at all times, and those that hold after recovery.
 */
package org.gypsumroute.core.fuzz

import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

internal fun Fleet.checkInvariants() {
    assertEquals(emptyList(), oracle.violations)
    val overdue = oracle.overdue(schedule.now) { host ->
        entries.first { it.record.host == host }.let { !it.serving }
    }
    assertEquals(emptyList(), overdue, "requests past their deadline")
    assertEquals(0, agents.sumOf { it.engine.collapses }, "engine collapses")
}

/** Ends all faults, waits, and checks that no request, stream or cache is left. */
internal fun Fleet.recoverAndVerify() {
    // Twice, so that a process that exits after its drain during the first wait is started again.
    repeat(2) {
        heal()
        schedule.advance(RECOVERY_TIME)
    }
    checkInvariants()
    assertEquals(emptyList(), oracle.unfinished(), "requests without an end")
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

private val RECOVERY_TIME = 60.seconds
