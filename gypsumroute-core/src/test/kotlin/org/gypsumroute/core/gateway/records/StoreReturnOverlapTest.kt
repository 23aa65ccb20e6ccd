/*
 * Reads of the store that overlap around its return from an older copy. Guards against changes that
 * are skipped without a trace, against eras that no answer of the store confirms, and against reads
 * that bring nothing.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.EraProblem
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.TableVersion
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.positionOf
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.reportFrom
import org.gypsumroute.core.gateway.sampleTable

class StoreReturnOverlapTest {
    private val endpoint = endpointOf("e1")
    private val held = positionOf(HELD, era = 1)

    /** A gateway with the records of revision 43 in era 1, which waits for changes. */
    private val harness = readyHarness(endpoint).apply {
        feed(PublishedEvent.HistoryLost(latestRead, AnsweredEra(StoreEra(1))))
        feedSnapshot(sampleTable, listOf(endpoint), revision = HELD, era = 1)
        assertEquals(held, state.published.position)
    }

    /**
     * The call waits for a revision after 43 while the store goes back, and another gateway reports
     * the return first. The answer has none of the changes 8 to 43 of era 2.
     */
    @Test
    fun `a watch from before the return does not skip changes after a full read`() {
        val waiting = harness.latestRead
        harness.feed(reportFrom("10.0.0.2", position = positionOf(7, era = 2)))
        harness.feedSnapshot(sampleTable, listOf(endpoint), revision = 7, era = 2)
        assertEquals(positionOf(7, era = 2), harness.state.published.position)
        val other = listOf(PublishedRecord.Endpoint(endpointOf("e2")))
        harness.feedChanges(HELD + 1, held, other, era = StoreEra(2), read = waiting)
        assertEquals(positionOf(7, era = 2), harness.state.published.position)
    }

    /** An era that no answer of the store confirms hides the next return. */
    @Test
    fun `an era that only another gateway states does not hide a return of the store`() {
        harness.feed(reportFrom("10.0.0.2", position = positionOf(7, era = 1_000)))
        val known = harness.effects.filterIsInstance<PublishedEffect.ReadSnapshot>().single()
        val answered = answeredAfter(known.knownEra, stated = 1)
        feedFullRead(HELD + 1, answered)
        val before = harness.state.published.position
        val watched = harness.effects.filterIsInstance<PublishedEffect.WatchChanges>().single()
        val returned = answeredAfter(watched.after.era, stated = 2)
        val other = listOf(PublishedRecord.Endpoint(endpointOf("e2")))
        harness.feed(
            PublishedEvent.ChangesRead(
                harness.latestRead,
                before,
                Revision(HELD + 40),
                other,
                returned
            )
        )
        val reads = harness.effects.filterIsInstance<PublishedEffect.ReadSnapshot>()
        assertEquals(1, reads.size, "the return is followed by a full read")
    }

    /** The era of an answer that states [stated], as the client of the store decodes it. */
    private fun answeredAfter(known: StoreEra, stated: Long) = if (StoreEra(stated) < known) {
        AnsweredEra(known, EraProblem.FALLEN)
    } else {
        AnsweredEra(StoreEra(stated))
    }

    private fun feedFullRead(revision: Long, era: AnsweredEra) = harness.feed(
        PublishedEvent.SnapshotRead(
            harness.latestRead,
            Revision(revision),
            listOf(PublishedRecord.Table(sampleTable), PublishedRecord.Endpoint(endpoint)),
            era
        )
    )

    /**
     * Such as a table with a field that only later versions of the gateway can read. Each read may
     * bring some megabytes.
     */
    @Test
    fun `a table of another gateway that cannot be taken over is not read with each report`() {
        val peer = HostId("10.0.0.2")
        val unusable = PublishedRecord.Unusable("op/config", "unknown kind of route")
        var reads = 0
        repeat(REPORTS) { sequence ->
            harness.feed(
                reportFrom(
                    peer.value,
                    sequence = sequence + 1L,
                    position = held,
                    tableVersion = 9
                )
            )
            val asked = harness.effects.filterIsInstance<PublishedEffect.ReadFromPeer>().size
            reads += asked
            if (asked > 0) {
                harness.feed(PublishedEvent.PeerRecordsRead(peer, held, listOf(unusable)))
            }
            harness.advance(10.milliseconds)
        }
        assertEquals(TableVersion(1), harness.state.published.table?.version)
        assertTrue(reads <= MAX_PEER_READS, "$reads reads of another gateway in 2 s")
    }

    /** Its first full read states the era itself; all calls to the store are priced. */
    @Test
    fun `a gateway that starts does not read all records twice because others state an era`() {
        val starting = GatewayHarness()
        starting.feed(RuntimeEvent.Started)
        starting.feed(reportFrom("10.0.0.2", position = held))
        assertEquals(0, starting.effects.filterIsInstance<PublishedEffect.ReadSnapshot>().size)
    }

    private companion object {
        const val HELD = 43L

        /** Reports of 2 s in the shortest interval between two gateways. */
        const val REPORTS = 200

        /** Reads after the longest pause between reads of the store, 500 ms, and one at once. */
        const val MAX_PEER_READS = 10
    }
}
