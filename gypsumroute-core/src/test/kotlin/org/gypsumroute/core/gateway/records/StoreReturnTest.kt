/*
 * A store that comes back from an older copy, assigns revisions again, and says so by its era.
 * Guards against gateways that take nothing more from it, or skip changes whose revisions they
 * read before.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EraProblem
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.TableVersion
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.positionOf
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom
import org.gypsumroute.core.gateway.sampleTable

class StoreReturnTest {
    private val endpoint = endpointOf("e1")
    private val nextTable = sampleTable.copy(version = TableVersion(2))

    /** A gateway with the records of revision 43 in era 1, which waits for changes. */
    private val harness = readyHarness(endpoint).apply {
        feed(PublishedEvent.HistoryLost(latestRead, AnsweredEra(StoreEra(1))))
        feedSnapshot(sampleTable, listOf(endpoint), revision = HELD, era = 1)
        assertEquals(held, state.published.position)
    }
    private val held get() = positionOf(HELD, era = 1)

    private fun GatewayHarness.fullReads() =
        effects.filterIsInstance<PublishedEffect.ReadSnapshot>()

    private fun GatewayHarness.watched() =
        effects.filterIsInstance<PublishedEffect.WatchChanges>().map { it.after }

    private fun GatewayHarness.tableVersion() = state.published.table?.version

    private fun GatewayHarness.feedFullRead(
        read: ReadId,
        revision: Long,
        era: AnsweredEra,
        table: TableVersion = nextTable.version
    ): List<Effect> = feed(
        PublishedEvent.SnapshotRead(
            read,
            Revision(revision),
            listOf(
                PublishedRecord.Table(sampleTable.copy(version = table)),
                PublishedRecord.Endpoint(endpoint)
            ),
            era
        )
    )

    @Test
    fun `a full read of a later era counts although its revision is lower`() {
        harness.feed(PublishedEvent.HistoryLost(harness.latestRead, AnsweredEra(StoreEra(2))))
        assertEquals(StoreEra(2), harness.fullReads().single().knownEra)
        harness.feedFullRead(harness.latestRead, 7, AnsweredEra(StoreEra(2)))
        assertEquals(nextTable.version, harness.tableVersion())
        assertEquals(listOf(positionOf(7, era = 2)), harness.watched())
    }

    /** The table may stand at one of the revisions 8 to 43, which the watch leaves out. */
    @Test
    fun `changes of a later era are not taken for those after an earlier one`() {
        val other = PublishedRecord.Endpoint(endpointOf("e2"))
        harness.feedChanges(HELD + 21, held, listOf(other), era = StoreEra(2))
        assertEquals(held, harness.state.published.position)
        assertEquals(1, harness.fullReads().size)
        harness.feedFullRead(harness.latestRead, HELD + 21, AnsweredEra(StoreEra(2)))
        assertEquals(nextTable.version, harness.tableVersion())
    }

    @Test
    fun `a watch without changes that states a later era is followed by a full read`() {
        harness.feedChanges(HELD, held, emptyList(), era = StoreEra(2))
        assertEquals(1, harness.fullReads().size)
    }

    @Test
    fun `a refusal that states a later era is followed by a full read`() {
        val era = AnsweredEra(StoreEra(2))
        harness.feed(PublishedEvent.ReadFailed(harness.latestRead, "503", era = era))
        harness.advance(110.milliseconds)
        assertEquals(1, harness.fullReads().size)
    }

    /** Guards against a gateway that is put back by an answer that was on its way for long. */
    @Test
    fun `answers of an earlier era that come late are dropped`() {
        val late = harness.latestRead
        harness.feed(PublishedEvent.HistoryLost(harness.latestRead, AnsweredEra(StoreEra(2))))
        harness.feedFullRead(late, HELD + 5, AnsweredEra(StoreEra(1)))
        assertEquals(held, harness.state.published.position)
        harness.feedFullRead(harness.latestRead, 7, AnsweredEra(StoreEra(2)))
        val after = harness.state
        harness.feedFullRead(late, HELD + 5, AnsweredEra(StoreEra(1)), TableVersion(9))
        val leaving = PublishedRecord.Endpoint(endpointOf("e1", leaving = true))
        harness.feedChanges(HELD + 5, held, listOf(leaving), read = late)
        assertEquals(after.published.position, harness.state.published.position)
        assertEquals(after.published.table, harness.state.published.table)
        assertEquals(after.endpoints, harness.state.endpoints)
    }

    /** The store loses revisions only when it goes back, so the gateway holds one it never had. */
    @Test
    fun `a full read that began after the records in force counts in the same era too`() {
        harness.feed(PublishedEvent.HistoryLost(harness.latestRead, AnsweredEra(StoreEra(1))))
        harness.feedFullRead(harness.latestRead, 7, AnsweredEra(StoreEra(1)))
        assertEquals(nextTable.version, harness.tableVersion())
        assertEquals(listOf(positionOf(7, era = 1)), harness.watched())
        val leaving = PublishedRecord.Endpoint(endpointOf("e1", leaving = true))
        harness.feedChanges(HELD + 1, held, listOf(leaving))
        assertEquals(positionOf(7, era = 1), harness.state.published.position)
    }

    @Test
    fun `a full read that began before the records in force is dropped`() {
        harness.feed(PublishedEvent.HistoryLost(harness.latestRead, AnsweredEra(StoreEra(1))))
        val overdue = harness.latestRead
        harness.advance(600.milliseconds)
        harness.feedFullRead(harness.latestRead, HELD + 9, AnsweredEra(StoreEra(1)))
        harness.feedFullRead(overdue, HELD, AnsweredEra(StoreEra(1)), TableVersion(1))
        assertEquals(positionOf(HELD + 9, era = 1), harness.state.published.position)
        val logged = harness.effects.filterIsInstance<RuntimeEffect.Log>().map { it.event }
        assertTrue(LogEvent.RECORDS_OUTDATED in logged)
    }

    /** Its own call may wait for changes that already happened at an earlier revision. */
    @Test
    fun `an era that another gateway reports is followed by a full read at once`() {
        val report = reportFrom("10.0.0.2", position = positionOf(7, era = 2))
        harness.feed(report)
        assertEquals(1, harness.fullReads().size)
        harness.feed(reportFrom("10.0.0.2", sequence = 2, position = positionOf(8, era = 2)))
        assertEquals(emptyList(), harness.fullReads())
        harness.feedFullRead(harness.latestRead, 8, AnsweredEra(StoreEra(2)))
        assertEquals(listOf(positionOf(8, era = 2)), harness.watched())
    }

    /** Guards against a gateway that rejects all records since the store states a lower era. */
    @Test
    fun `an era that falls counts for the known one`() {
        val fallen = AnsweredEra(StoreEra(1), EraProblem.FALLEN)
        harness.feed(PublishedEvent.HistoryLost(harness.latestRead, fallen))
        harness.feedFullRead(harness.latestRead, 7, fallen)
        assertEquals(nextTable.version, harness.tableVersion())
    }

    private companion object {
        const val HELD = 43L
    }
}
