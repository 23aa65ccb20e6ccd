/*
 * How often the store is read while its answers bring nothing. Guards against gateways that use up
 * the read calls of a deployment, and the log, in a loop without a pause.
 */
package org.gypsumroute.core.gateway.records

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.StoreEra
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.sampleTable

class StoreReadRateTest {
    private val harness = readyHarness(endpointOf("e1"))
    private val records = listOf(
        PublishedRecord.Table(sampleTable),
        PublishedRecord.Endpoint(endpointOf("e1"))
    )

    private fun reads() = harness.effects.filterIsInstance<PublishedEffect.Read>()

    /** Counts the reads of some seconds, each of which gets its answer at once. */
    private fun countReads(answer: GatewayHarness.(PublishedEffect.Read) -> Unit): Int {
        var count = 0
        var open = reads()
        repeat(STEPS) {
            while (open.isNotEmpty()) {
                count += open.size
                open = open.flatMap { read ->
                    harness.answer(read)
                    reads()
                }
                assertTrue(count <= MOST_READS, "$count reads of a store that answers at once")
            }
            harness.advance(STEP)
            open = reads()
        }
        return count
    }

    private fun GatewayHarness.feedFullRead(read: ReadId, revision: Long) =
        feed(PublishedEvent.SnapshotRead(read, Revision(revision), records))

    private fun GatewayHarness.loseHistoryOf(read: ReadId) = feed(PublishedEvent.HistoryLost(read))

    /** The history is dropped faster than a full read and the next watch take. */
    @Test
    fun `a store that drops its history again and again is read after a pause`() {
        var revision = 100L
        val count = countReads { read ->
            when (read) {
                is PublishedEffect.ReadSnapshot -> feedFullRead(read.read, ++revision)
                is PublishedEffect.WatchChanges -> loseHistoryOf(read.read)
                is PublishedEffect.ReadFromPeer -> Unit
            }
        }
        assertTrue(count <= MOST_READS, "$count reads")
        assertEquals(Revision(revision), harness.state.published.position.revision)
    }

    @Test
    fun `a store whose records are always older is read after a pause`() {
        harness.feed(
            PublishedEvent.ReadFailed(
                harness.latestRead,
                "503",
                era = AnsweredEra(StoreEra(2))
            )
        )
        harness.advance(150.milliseconds)
        val count = countReads { read ->
            when (read) {
                is PublishedEffect.ReadSnapshot -> feedFullRead(read.read, 1)
                is PublishedEffect.WatchChanges -> loseHistoryOf(read.read)
                is PublishedEffect.ReadFromPeer -> Unit
            }
        }
        assertTrue(count <= MOST_READS, "$count reads")
    }

    @Test
    fun `a store that does not wait for changes is read after a pause`() {
        val count = countReads { read ->
            val watch = read as PublishedEffect.WatchChanges
            feedChanges(watch.after.revision.value, watch.after, emptyList(), read = watch.read)
        }
        assertTrue(count <= MOST_READS, "$count reads")
    }

    private companion object {
        const val STEPS = 2000
        val STEP = 5.milliseconds

        /** The share of one of 330 gateways of 2,000 reads a second, for the time of all steps. */
        val MOST_READS = 2000 / 330 * (STEP * STEPS / 1.seconds).toInt()
    }
}
