/*
 * What has to hold at one gateway process while the store is away and comes back from older copies.
 */
package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.TableVersion
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.endpoints.acceptsNewRequests
import org.gypsumroute.core.gateway.endpoints.isBefore
import org.gypsumroute.core.gateway.endpoints.isLeaving
import org.gypsumroute.core.gateway.plainService

internal class StoreReturnChecks(private val process: StoreReturnMember.Process) {
    /** Knowledge of before the return of the store to [era] that has to hold for now. */
    private data class Kept<T>(val value: T, val era: StoreEra)

    /** The starts of endpoints that are known to leave or to be gone. */
    private val unusable = HashMap<EndpointId, UnixTime?>()
    private var present = emptyMap<EndpointId, UnixTime?>()
    private val keptUnusable = HashMap<EndpointId, Kept<UnixTime?>>()
    private val keptOut = HashMap<DataCentreId, Kept<Unit>>()
    private var wasRestoring = false

    /** The era whose restore has ended, so that the next full read of it counts as it is. */
    private var restoredEra = StoreEra.NONE
    private var highestVersion: TableVersion? = null

    /** Times of reads, less those that follow on changes, which have their own. */
    private val reads = ArrayDeque<Double>()
    private val changes = ArrayDeque<Double>()

    /** The store came back to [era]: what is known now has to hold until something newer. */
    fun noteReturn(era: StoreEra) {
        observe()
        unusable.forEach { (id, start) -> keptUnusable[id] = Kept(start, era) }
        process.state.published.dataCentresOut.forEach { keptOut[it] = Kept(Unit, era) }
    }

    /** Ends what had to hold of the records that an event brought, after it was reduced. */
    fun noteRead(at: Double, event: PublishedEvent) {
        if (event is PublishedEvent.ChangesRead) {
            if (event.changes.isNotEmpty()) changes += at
            for (change in event.changes) endKept(change, event.era.era)
        }
        val readAll = when (event) {
            is PublishedEvent.SnapshotRead -> event.position
            is PublishedEvent.PeerRecordsRead -> event.position
            else -> null
        }
        if (readAll != null && readAll.era >= restoredEra) {
            keptUnusable.values.removeAll { it.era <= restoredEra }
            keptOut.values.removeAll { it.era <= restoredEra }
        }
        endOfEarlierEra()
    }

    private fun endKept(change: PublishedRecord, era: StoreEra) {
        when (change) {
            is PublishedRecord.Endpoint ->
                keptUnusable[change.record.id]?.let {
                    if (it.era <= era) keptUnusable -= change.record.id
                }

            is PublishedRecord.DataCentreBack ->
                keptOut[change.dataCentre]?.let { if (it.era <= era) keptOut -= change.dataCentre }

            else -> Unit
        }
    }

    /**
     * Records in force that are still of an earlier era can only have got later since the return:
     * what was acknowledged before it arrived late, and is what is known of before.
     */
    private fun endOfEarlierEra() {
        val state = process.state
        val era = state.published.position.era
        keptOut.entries.removeAll { (id, kept) ->
            era < kept.era && id !in state.published.dataCentresOut
        }
        keptUnusable.entries.removeAll { (id, kept) ->
            val endpoint = state.endpoints[id]
            era < kept.era && endpoint != null &&
                acceptsNewRequests(state, plainService, endpoint)
        }
    }

    fun noteReadStarted(at: Double) {
        reads += at
    }

    /** Returns what does not hold after an event, or null. */
    fun problem(at: Double): String? {
        observe()
        return fallenTable() ?: usedEndpoint() ?: usedDataCentre() ?: tooManyReads(at)
    }

    private fun observe() {
        val state = process.state
        val starts = state.endpoints.mapValues { it.value.record.startedAt }
        for ((id, start) in present) if (id !in starts) unusable[id] = start
        for ((id, endpoint) in state.endpoints) {
            if (isLeaving(state, endpoint)) {
                unusable[id] = endpoint.record.startedAt
            } else {
                unusable -= id
            }
        }
        present = starts
        if (wasRestoring && !state.isRestoring) restoredEra = state.published.position.era
        wasRestoring = state.isRestoring
    }

    private fun fallenTable(): String? {
        val version = process.state.published.table?.version
        val before = highestVersion
        highestVersion = version ?: before
        return "the table went from $before to $version".takeIf {
            before != null && (version == null || version < before)
        }
    }

    private fun usedEndpoint(): String? {
        val state = process.state
        for ((id, kept) in keptUnusable.toList()) {
            val endpoint = state.endpoints[id] ?: continue
            val start = endpoint.record.startedAt
            if (kept.value.isBefore(start)) {
                keptUnusable -= id
            } else if (acceptsNewRequests(state, plainService, endpoint)) {
                return "$id of start $start is used, and was known to leave or to be gone " +
                    "before era ${kept.era}"
            }
        }
        return null
    }

    private fun usedDataCentre(): String? {
        val used = keptOut.keys - process.state.published.dataCentresOut
        return "$used in service, and known to be out before the return".takeIf {
            used.isNotEmpty()
        }
    }

    private fun tooManyReads(at: Double): String? {
        while (reads.isNotEmpty() && reads.first() < at - WINDOW_MS) reads.removeFirst()
        while (changes.isNotEmpty() && changes.first() < at - WINDOW_MS) changes.removeFirst()
        val count = reads.size - changes.size
        return "$count reads in 10 s, and ${changes.size} after changes".takeIf {
            count >= MOST_READS
        }
    }

    private companion object {
        const val WINDOW_MS = 10_000.0

        /** Six a second. */
        const val MOST_READS = 60
    }
}
