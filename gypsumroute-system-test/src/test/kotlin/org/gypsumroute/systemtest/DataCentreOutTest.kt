package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards invariants 4 (a data centre taken out gets no new work) and 10 (documents spread). */
class DataCentreOutTest {
    @Test
    fun `a data centre is taken out and put back although one process alone read the document`() {
        val plan = FleetPlan(
            engines = listOf(THAMEL, THAMEL, PATAN),
            entries = listOf(THAMEL, PATAN)
        )
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val patan = fleet.engines.last()
            val running = fleet.entries.map { it.stream("a long menu for ${it.name}", 500) }
            val load = Load(fleet.entries)
            awaitUntil("patan is used", 10.seconds) { patan.streams.isNotEmpty() }

            publishToOneReader(fleet, menuWriter(version = 2, dataCentresOut = listOf(PATAN)))
            Thread.sleep(SETTLED.inWholeMilliseconds)
            val kept = patan.streams
            val opened = mutableSetOf<String>()
            val start = TimeSource.Monotonic.markNow()
            while (start.elapsedNow() < WATCHED) {
                opened += patan.streams - kept
                Thread.sleep(SAMPLE.inWholeMilliseconds)
            }
            assertEquals(emptySet(), opened, "new streams in patan; ${fleet.tails()}")
            running.forEach { assertTrue(it.await(20.seconds).whole, fleet.tails()) }

            publishToOneReader(fleet, menuWriter(version = 3))
            awaitUntil("patan is used again", 11.seconds) { patan.streams.isNotEmpty() }
            val failures = load.stop().filterNot { it.whole }
            assertEquals(emptyList(), failures, fleet.tails())
        }
    }

    /** One process reads the document; then the configuration service is down for all others. */
    private fun publishToOneReader(fleet: ProcessFleet, document: String) {
        fleet.setConfiguration("unavailable")
        val version = Regex("version: (\\d+)").find(document)!!.groupValues[1]
        fleet.publish(MENU_WRITER, document)
        // All watchers back off now; the first that reads again is the only one that may.
        fleet.setConfiguration("up")
        awaitUntil("a process reads version $version", 12.seconds) {
            fleet.routers.any { it.acceptedFromPlatform(version) } ||
                fleet.entries.any { it.documentVersion(MENU_WRITER) == version }
        }
        fleet.setConfiguration("unavailable")
    }

    private fun RunningProcess.acceptedFromPlatform(version: String): Boolean =
        logged("\"document_accepted\"").any { "\"version\":\"$version\"" in it }

    private companion object {
        val SETTLED = 3.seconds
        val WATCHED = 3.seconds
        val SAMPLE = 10.milliseconds
    }
}
