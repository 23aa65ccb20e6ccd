/*
 * The end of the time after the store came back from an older copy, beside other reads. Guards
 * against what was known before the return and stays in force for good.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.StoreEra
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.endpoints.acceptsNewRequests
import org.gypsumroute.core.gateway.plainService
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.sampleTable

class StoreRestoreEndTest {
    private val away = DataCentreId("away")
    private val endpoint = listed("e1")
    private val other = PublishedRecord.Endpoint(endpointOf("e2", sequence = 5))

    private fun listed(id: String, sequence: Long = 1) =
        PublishedRecord.Endpoint(endpointOf(id, dataCentre = away, sequence = sequence))

    private fun GatewayHarness.usable(): Set<String> = state.endpoints.values
        .filter { acceptsNewRequests(state, plainService, it) }
        .map { it.record.id.value }.toSet()

    private fun GatewayHarness.feedFullRead(
        revision: Long,
        vararg records: PublishedRecord,
        read: ReadId = latestRead,
        era: StoreEra = state.published.reads.era
    ) = feed(
        PublishedEvent.SnapshotRead(
            read,
            Revision(revision),
            listOf(PublishedRecord.Table(sampleTable)) + records,
            AnsweredEra(era)
        )
    )

    private fun GatewayHarness.comeBack(vararg records: PublishedRecord) {
        val era = StoreEra(state.published.reads.era.value + 1)
        feed(PublishedEvent.HistoryLost(latestRead, AnsweredEra(era)))
        feedFullRead(2, *records, era = era)
    }

    /** A gateway that knows a data centre as out that neither the copy nor the store lists so. */
    private fun restoring() = readyHarness(endpointOf("e1", dataCentre = away)).apply {
        feedChanges(PublishedRecord.DataCentreOut(away))
        comeBack(endpoint)
        assertEquals(emptySet(), usable())
    }

    /** Advances to this time before the end, while the store answers watches after their wait. */
    private fun GatewayHarness.advanceToEnd(before: Duration = Duration.ZERO) {
        val end = state.published.restoreEndsAt + -before
        while (end - now > WATCH) {
            advance(WATCH)
            feedChanges(0, state.published.position, emptyList())
        }
        advance(end - now)
    }

    /** Answers reads as a store that lists both endpoints and has no data centre out. */
    private fun GatewayHarness.answerAsStore() {
        repeat(READS) {
            val read = effects.filterIsInstance<PublishedEffect.Read>().lastOrNull()
            when (read) {
                is PublishedEffect.ReadSnapshot ->
                    feedFullRead(LATER, endpoint, other, read = read.read)

                is PublishedEffect.WatchChanges -> {
                    advance(read.wait)
                    feedChanges(LATER, state.published.position, emptyList(), read = read.read)
                }

                else -> advance(100.milliseconds)
            }
        }
    }

    /** A change that comes while the store answers page by page is in force before the pages. */
    @Test
    fun `changes that overtake the full read at the end do not stand for it`() {
        val harness = restoring()
        harness.advanceToEnd()
        val full = harness.effects.filterIsInstance<PublishedEffect.ReadSnapshot>().single()
        val watch = ReadId(full.read.value - 1)
        val held = harness.state.published.position
        harness.feedChanges(held.revision.value + 5, held, listOf(other), read = watch)
        harness.feedFullRead(held.revision.value + 1, endpoint, read = full.read)
        harness.answerAsStore()
        assertEquals(setOf("e1", "e2"), harness.usable())
    }

    @Test
    fun `a watch that is open when the restore ends does not stand for the full read`() {
        val harness = restoring()
        harness.advanceToEnd(before = 150.milliseconds)
        harness.failRead()
        harness.advance(150.milliseconds)
        assertTrue(harness.state.published.reads.awaited)
        val held = harness.state.published.position
        harness.feedChanges(held.revision.value + 5, held, listOf(other))
        harness.advance(50.milliseconds)
        harness.answerAsStore()
        assertEquals(setOf("e1", "e2"), harness.usable())
    }

    @Test
    fun `all records are read when the store is reached again after the end of the restore`() {
        val harness = restoring()
        harness.advanceToEnd(before = 50.milliseconds)
        harness.failRead()
        harness.advance(200.milliseconds)
        harness.answerAsStore()
        assertEquals(setOf("e1", "e2"), harness.usable())
    }

    /**
     * The record lapses around an outage; the copy has it as it was before, and its endpoint renews
     * it without a change but of the sequence, for which the store reports no change.
     */
    @Test
    fun `a lapsed endpoint that the copy lists is not removed when the time to return is over`() {
        val harness = readyHarness(endpointOf("e1", sequence = 8), endpointOf("e2"))
        harness.failRead()
        harness.advance(3.seconds)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        assertEquals(setOf("e1", "e2"), harness.usable())
        harness.comeBack(PublishedRecord.Endpoint(endpointOf("e1", sequence = 4)), other)
        assertEquals(setOf("e1", "e2"), harness.usable())
        harness.advance(3.seconds)
        assertEquals(setOf("e1", "e2"), harness.usable())
    }

    /** The second copy was taken after the first return, before the record of e1 lapsed. */
    @Test
    fun `an endpoint that was removed before an earlier return stays out after the next`() {
        val harness = readyHarness(endpointOf("e1"), endpointOf("e2"))
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        harness.comeBack(PublishedRecord.Endpoint(endpointOf("e1")), other)
        harness.feedChanges(PublishedRecord.EndpointRemoved(EndpointId("e1")))
        harness.advanceToEnd()
        harness.feedFullRead(9, other)
        assertEquals(setOf("e2"), harness.usable())
        harness.comeBack(PublishedRecord.Endpoint(endpointOf("e1")), other)
        assertEquals(setOf("e2"), harness.usable())
    }

    private companion object {
        /** Revision of the store when it is read at last. */
        const val LATER = 40L
        const val READS = 8
        val WATCH = 500.milliseconds
    }
}
