/*
 * What stays in force when the store comes back from an older copy, until what the copy lacks is
 * written again.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Revision
import org.gypsumroute.api.StoreEra
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.endpoints.acceptsNewRequests
import org.gypsumroute.core.gateway.plainService
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.sampleTable

class StoreRestoreTest {
    private val away = DataCentreId("away")

    /** The endpoints that get new requests. */
    private fun GatewayHarness.usable(): Set<String> = state.endpoints.values
        .filter { acceptsNewRequests(state, plainService, it) }
        .map { it.record.id.value }.toSet()

    private fun GatewayHarness.change(record: EndpointRecord) =
        feedChanges(PublishedRecord.Endpoint(record))

    private fun GatewayHarness.remove(id: String) =
        feedChanges(PublishedRecord.EndpointRemoved(EndpointId(id)))

    /** The store comes back from a copy with these records. */
    private fun GatewayHarness.comeBack(vararg records: PublishedRecord) {
        val era = AnsweredEra(StoreEra(state.published.reads.era.value + 1))
        feed(PublishedEvent.HistoryLost(latestRead, era))
        feedFullRead(Revision(2), era, records.asList())
    }

    private fun GatewayHarness.feedFullRead(
        revision: Revision,
        era: AnsweredEra,
        records: List<PublishedRecord>
    ) {
        val all = listOf(PublishedRecord.Table(sampleTable)) + records
        feed(PublishedEvent.SnapshotRead(latestRead, revision, all, era))
    }

    /** The full read at the end of the restore finds these records. */
    private fun GatewayHarness.endRestore(vararg records: PublishedRecord) {
        val reads = advance(10.seconds).filterIsInstance<PublishedEffect.ReadSnapshot>()
        assertTrue(reads.isNotEmpty(), "all records are read again at the end")
        val held = state.published.position
        feedFullRead(held.revision, AnsweredEra(held.era), records.asList())
    }

    private fun listed(id: String, startStamp: Long? = 1, sequence: Long = 1) =
        PublishedRecord.Endpoint(endpointOf(id, startStamp = startStamp, sequence = sequence))

    /** Guards against requests to an endpoint that left after the copy was taken. */
    @Test
    fun `an endpoint that leaves gets nothing although the copy lists it as ready`() {
        for (start in listOf(1L, null)) {
            val harness = readyHarness(endpointOf("e1", startStamp = start), endpointOf("e2"))
            harness.change(endpointOf("e1", leaving = true, startStamp = start, sequence = 2))
            harness.comeBack(listed("e1", start), listed("e2"))
            assertEquals(setOf("e2"), harness.usable(), "start $start")
            harness.change(endpointOf("e1", startStamp = 5))
            assertEquals(setOf("e1", "e2"), harness.usable(), "start $start")
        }
    }

    /** Its record may be written anew without a change of the sequence, before the full read. */
    @Test
    fun `an endpoint that the first full read lists as leaving gets nothing`() {
        for (start in listOf(1L, null)) {
            val harness = readyHarness(endpointOf("e1", startStamp = start), endpointOf("e2"))
            val leaving = endpointOf("e1", leaving = true, startStamp = start)
            harness.comeBack(PublishedRecord.Endpoint(leaving), listed("e2"))
            assertEquals(setOf("e2"), harness.usable(), "start $start")
        }
    }

    /** Guards against requests to an endpoint that is gone and whose address others may have. */
    @Test
    fun `an endpoint that was removed gets nothing although the copy lists it as ready`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.remove("e1")
        harness.comeBack(listed("e1"), listed("e2"))
        assertEquals(setOf("e2"), harness.usable())
        harness.endRestore(listed("e2"))
        assertEquals(setOf("e2"), harness.usable())
    }

    @Test
    fun `a removed endpoint that lives is used once it writes itself again`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"), endpointOf("e3"))
        listOf("e1", "e2", "e3").forEach { harness.remove(it) }
        harness.comeBack(listed("e1", startStamp = 2), listed("e2"), listed("e3"))
        assertEquals(setOf("e1"), harness.usable(), "a later start")
        harness.change(endpointOf("e2", sequence = 9))
        assertEquals(setOf("e1", "e2"), harness.usable(), "a change after the return")
        harness.endRestore(listed("e1", startStamp = 2), listed("e2"), listed("e3"))
        assertEquals(setOf("e1", "e2", "e3"), harness.usable(), "still listed at the end")
    }

    /** Guards against the state of an earlier start, such as that it is not cold. */
    @Test
    fun `the record of a later start is not replaced by that of an earlier one`() {
        val harness = readyHarness(endpointOf("e1", startStamp = 1))
        harness.change(endpointOf("e1", startStamp = 2, coldRemaining = 5.seconds))
        val known = harness.state.endpoints.getValue(EndpointId("e1"))
        harness.comeBack(listed("e1", startStamp = 1, sequence = 9))
        assertEquals(known, harness.state.endpoints.getValue(EndpointId("e1")))
    }

    /** Guards against a fleet that seems to be gone because it started after the copy was taken. */
    @Test
    fun `an endpoint that the copy does not list has the time to write itself again`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.advance(100.milliseconds)
        harness.comeBack()
        assertEquals(setOf("e1", "e2"), harness.usable())
        harness.advance(2.seconds)
        assertEquals(setOf("e1", "e2"), harness.usable())
        harness.change(endpointOf("e2", sequence = 2))
        harness.advance(1.seconds)
        assertEquals(setOf("e2"), harness.usable())
    }

    /** Guards against requests to a data centre that was taken out after the copy was taken. */
    @Test
    fun `a data centre that is out stays out until the operator puts it back`() {
        val harness = readyHarness(endpointOf("e1", dataCentre = away), endpointOf("e2"))
        harness.feedChanges(PublishedRecord.DataCentreOut(away))
        val listed = arrayOf(
            PublishedRecord.Endpoint(endpointOf("e1", dataCentre = away)),
            PublishedRecord.Endpoint(endpointOf("e2"))
        )
        harness.comeBack(*listed)
        assertEquals(setOf("e2"), harness.usable())
        harness.feedChanges(PublishedRecord.DataCentreOut(away))
        harness.feedChanges(PublishedRecord.DataCentreBack(away))
        assertEquals(setOf("e1", "e2"), harness.usable())
    }

    /** Guards against a data centre that stays out at one gateway which missed that it was back. */
    @Test
    fun `a data centre that is not listed as out at the end of the restore is in service`() {
        val harness = readyHarness(endpointOf("e1", dataCentre = away))
        harness.feedChanges(PublishedRecord.DataCentreOut(away))
        val listed = PublishedRecord.Endpoint(endpointOf("e1", dataCentre = away))
        harness.comeBack(listed)
        harness.endRestore(listed)
        assertEquals(setOf("e1"), harness.usable())
    }

    @Test
    fun `without a return, a full read counts as it is`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2", dataCentre = away))
        harness.feedChanges(PublishedRecord.DataCentreOut(away))
        harness.remove("e1")
        harness.loseHistory()
        harness.feedSnapshot(sampleTable, listOf(endpointOf("e1"), endpointOf("e2")))
        assertEquals(setOf("e1", "e2"), harness.usable())
        assertFalse(harness.state.isRestoring)
    }
}
