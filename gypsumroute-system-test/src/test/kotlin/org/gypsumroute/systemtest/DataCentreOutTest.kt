package org.gypsumroute.systemtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A document takes a data centre out, and only one process can read it from the configuration
 * service. Guards against new work in a data centre that is out (invariant 4), and against
 * documents that do not reach all processes through their peers (invariant 10).
 */
class DataCentreOutTest {
    @Test
    fun `a data centre is taken out and put back although only one process reads the document`() {
        val plan = FleetPlan(
            engines = listOf(THAMEL, THAMEL, PATAN),
            entries = listOf(THAMEL, PATAN)
        )
        ProcessFleet(plan).use { fleet ->
            fleet.start()
            val patan = fleet.engines.last()
            val runningCalls = fleet.entries.map { it.stream("a long menu for ${it.name}", 500) }
            val load = Load(fleet.entries)
            awaitUntil("patan is used", 10.seconds) { patan.streams.isNotEmpty() }

            publishToOneReader(fleet, menuWriter(version = 2, dataCentresOut = listOf(PATAN)))
            Thread.sleep(PROPAGATION_TIME.inWholeMilliseconds)
            val streamsBefore = patan.streams
            val newStreams = mutableSetOf<String>()
            val start = TimeSource.Monotonic.markNow()
            while (start.elapsedNow() < OBSERVATION_TIME) {
                newStreams += patan.streams - streamsBefore
                Thread.sleep(SAMPLING_INTERVAL.inWholeMilliseconds)
            }
            assertEquals(emptySet(), newStreams, "new streams in patan; ${fleet.logTails()}")
            runningCalls.forEach { assertTrue(it.await(20.seconds).isComplete, fleet.logTails()) }

            publishToOneReader(fleet, menuWriter(version = 3))
            awaitUntil("patan is used again", 11.seconds) { patan.streams.isNotEmpty() }
            val failures = load.stop().filterNot { it.isComplete }
            assertEquals(emptyList(), failures, fleet.logTails())
        }
    }

    /**
     * Publishes a document so that only one process reads it: the configuration service becomes
     * unavailable as soon as one has.
     */
    private fun publishToOneReader(fleet: ProcessFleet, document: String) {
        fleet.setConfigurationMode("unavailable")
        val version = Regex("version: (\\d+)").find(document)!!.groupValues[1]
        fleet.publish(MENU_WRITER, document)
        // All watchers are in their back-off now, and the first one that retries is to be the only
        // one that reads the document.
        fleet.setConfigurationMode("up")
        awaitUntil("a process reads version $version", 12.seconds) {
            fleet.routers.any { it.acceptedFromPlatform(version) } ||
                fleet.entries.any { it.documentVersion(MENU_WRITER) == version }
        }
        fleet.setConfigurationMode("unavailable")
    }

    private fun RunningProcess.acceptedFromPlatform(version: String): Boolean =
        logLines("\"document_accepted\"").any { "\"version\":\"$version\"" in it }

    private companion object {
        val PROPAGATION_TIME = 3.seconds
        val OBSERVATION_TIME = 3.seconds
        val SAMPLING_INTERVAL = 10.milliseconds
    }
}
