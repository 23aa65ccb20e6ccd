package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards invariant 10: an accepted document is never replaced by an older one. */
class StaleDocumentTest {
    @Test
    fun `processes restarted beside a stale configuration service keep the newer document`() {
        val plan = FleetPlan(
            engines = listOf(THAMEL, PATAN),
            entries = listOf(THAMEL, PATAN)
        )
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val old = fleet.configurationSequence()
            fleet.publish(MENU_WRITER, menuWriter(version = 2, dataCentresOut = listOf(PATAN)))
            awaitUntil("version 2 is in force", 11.seconds) {
                fleet.entries.all { it.documentVersion(MENU_WRITER) == "2" }
            }
            // Restarted processes learn the newer document from peers, and read the older after it.
            fleet.setConfiguration("unavailable")
            fleet.showSnapshot(old)
            for (name in listOf("entry-1", "agent-1")) {
                fleet.process(name).kill()
            }
            fleet.startAgent("agent-1")
            fleet.startEntry("entry-1")
            val entry = fleet.entries.first()
            awaitUntil("entry-1 holds version 2", 20.seconds) {
                entry.documentVersion(MENU_WRITER) == "2"
            }
            fleet.setConfiguration("up")
            awaitUntil("entry-1 uses agent-1", 20.seconds) { "agent-1" in entry.accepting }
            awaitUntil("the old document is offered", 15.seconds) {
                fleet.routers.any { it.isOfferedAgain() }
            }
            val opened = mutableSetOf<String>()
            val start = TimeSource.Monotonic.markNow()
            val load = Load(fleet.entries)
            while (start.elapsedNow() < WATCHED) {
                opened += fleet.engines.last().streams
                for (probe in fleet.entries) {
                    assertEquals("2", probe.documentVersion(MENU_WRITER), probe.name)
                }
                Thread.sleep(SAMPLE.inWholeMilliseconds)
            }
            assertEquals(emptySet(), opened, "streams in the data centre that is out")
            assertTrue(load.stop().all { it.whole }, fleet.tails())
        }
    }

    /** Whether this process read the older document, whatever it made of it. */
    private fun RunningProcess.isOfferedAgain(): Boolean =
        logged("\"document_stale\"").isNotEmpty() ||
            logged("\"document_accepted\"").last().contains("\"version\":\"1\"")

    private companion object {
        val WATCHED = 4.seconds
        val SAMPLE = 20.milliseconds
    }
}
