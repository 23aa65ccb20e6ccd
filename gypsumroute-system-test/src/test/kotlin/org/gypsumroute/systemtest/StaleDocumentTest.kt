package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Processes restart, receive the newest document from their peers and then read an older one from
 * a stale configuration service. Guards against an accepted document that is replaced by an older
 * one (invariant 10).
 */
class StaleDocumentTest {
    @Test
    fun `restarted processes keep the newer document if the configuration service is stale`() {
        val plan = FleetPlan(
            engines = listOf(THAMEL, PATAN),
            entries = listOf(THAMEL, PATAN)
        )
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val olderSequence = fleet.configurationSequence()
            fleet.publish(MENU_WRITER, menuWriter(version = 2, dataCentresOut = listOf(PATAN)))
            awaitUntil("version 2 is in force", 11.seconds) {
                fleet.entries.all { it.documentVersion(MENU_WRITER) == "2" }
            }
            // The restarted processes receive the newer document from peers before they read the
            // older one.
            fleet.setConfigurationMode("unavailable")
            fleet.serveSnapshot(olderSequence)
            for (name in listOf("entry-1", "agent-1")) {
                fleet.process(name).kill()
            }
            fleet.startAgent("agent-1")
            fleet.startEntry("entry-1")
            val entry = fleet.entries.first()
            awaitUntil("entry-1 holds version 2", 20.seconds) {
                entry.documentVersion(MENU_WRITER) == "2"
            }
            fleet.setConfigurationMode("up")
            awaitUntil("entry-1 uses agent-1", 20.seconds) { "agent-1" in entry.acceptingHosts }
            awaitUntil("the old document is offered", 15.seconds) {
                fleet.routers.any { it.hasReadOlderDocument() }
            }
            val newStreams = mutableSetOf<String>()
            val start = TimeSource.Monotonic.markNow()
            val load = Load(fleet.entries)
            while (start.elapsedNow() < OBSERVATION_TIME) {
                newStreams += fleet.engines.last().streams
                for (probe in fleet.entries) {
                    assertEquals("2", probe.documentVersion(MENU_WRITER), probe.name)
                }
                Thread.sleep(SAMPLING_INTERVAL.inWholeMilliseconds)
            }
            assertEquals(emptySet(), newStreams, "streams in the data centre that is out")
            assertTrue(load.stop().all { it.isComplete }, fleet.logTails())
        }
    }

    /** Whether this process read the older document, whether it accepted or rejected it. */
    private fun RunningProcess.hasReadOlderDocument(): Boolean =
        logLines("\"document_stale\"").isNotEmpty() ||
            logLines("\"document_accepted\"").last().contains("\"version\":\"1\"")

    private companion object {
        val OBSERVATION_TIME = 4.seconds
        val SAMPLING_INTERVAL = 20.milliseconds
    }
}
