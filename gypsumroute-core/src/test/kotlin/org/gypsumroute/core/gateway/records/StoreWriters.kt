/*
 * The operator and the endpoints, who write to a store, and write again what it lost.
 */
package org.gypsumroute.core.gateway.records

import kotlin.random.Random
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.TableVersion
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.sampleTable
import org.gypsumroute.core.gateway.simulation.SimulatedClock

/**
 * Draws changes and calls [write] for each, with the record or null for a removal. A write is
 * repeated while the store is away.
 */
internal class StoreWriters(
    private val clock: SimulatedClock,
    private val random: Random,
    private val store: CopiedStore,
    private val isUp: () -> Boolean,
    private val write: (ItemKey, PublishedRecord?) -> Unit
) {
    /** What an endpoint says of itself, or null if it is gone. */
    private val endpoints = LinkedHashMap<EndpointId, EndpointRecord?>()
    private val leavingSince = HashMap<EndpointId, Double>()
    private val dataCentresOut = HashSet<DataCentreId>()
    private var tableVersion = 1L

    fun writeFirst() {
        repeat(ENDPOINTS) { endpoints[EndpointId("e$it")] = newStart(EndpointId("e$it")) }
        put(ItemKey.Table)
        endpoints.keys.forEach { put(ItemKey.Endpoint(it)) }
    }

    /** Draws one change, which is written as soon as the store accepts it. */
    fun change() {
        when (random.nextInt(KINDS)) {
            0, 1 -> {
                tableVersion++
                put(ItemKey.Table)
            }

            2 -> changeDataCentre(DataCentreId("d${random.nextInt(DATA_CENTRES)}"))

            else -> changeEndpoint(endpoints.keys.random(random))
        }
    }

    private fun changeDataCentre(id: DataCentreId) {
        if (!dataCentresOut.remove(id)) dataCentresOut += id
        put(ItemKey.DataCentre(id))
    }

    private fun changeEndpoint(id: EndpointId) {
        val record = endpoints[id]
        val isDraining = record?.leaving == true &&
            clock.now - leavingSince.getValue(id) < DRAIN_MS
        if (isDraining && random.nextInt(4) != 0) return
        val crashes = record != null && random.nextInt(4) == 0
        endpoints[id] = when {
            record == null || isDraining || random.nextInt(4) == 0 -> newStart(id)
            crashes || record.leaving || random.nextInt(4) == 0 -> null
            else -> record.copy(leaving = true, sequence = record.sequence + random.nextLong(1, 4))
        }
        if (endpoints[id]?.leaving == true) leavingSince[id] = clock.now
        if (endpoints[id] != null || !crashes) {
            put(ItemKey.Endpoint(id))
        } else {
            clock.after(LAPSE_MS) { if (endpoints[id] == null) put(ItemKey.Endpoint(id)) }
        }
    }

    private fun newStart(id: EndpointId) = endpointOf(
        id.value,
        dataCentre = DataCentreId("d${id.value.last().code % DATA_CENTRES}"),
        startStamp = clock.now.toLong() + 1
    )

    /** After a return, what is alive writes itself again, and what is gone lapses. */
    fun writeAgain() {
        val keys = listOf(ItemKey.Table) + endpoints.keys.map { ItemKey.Endpoint(it) } +
            (0 until DATA_CENTRES).map { ItemKey.DataCentre(DataCentreId("d$it")) }
        val era = store.era
        val operatorTime = if (random.nextInt(3) == 0) SLOW_OPERATOR_MS else REWRITE_MS
        for (key in keys) {
            val isGone = key is ItemKey.Endpoint && endpoints[key.id] == null
            val wait = when {
                isGone -> LAPSE_MS
                key is ItemKey.Endpoint -> random.nextDouble(REWRITE_MS)
                else -> random.nextDouble(operatorTime)
            }
            clock.after(wait) { if (store.era == era) putAgain(key) }
        }
    }

    /** Removes the records of some endpoints as the store comes back, as if they had lapsed. */
    fun lapseSome() {
        for (id in endpoints.keys.filter { random.nextInt(4) == 0 && it in store.endpoints }) {
            write(ItemKey.Endpoint(id), null)
        }
    }

    private fun putAgain(key: ItemKey) {
        if (key is ItemKey.Endpoint) {
            val record = endpoints[key.id]
            val stored = store.endpoints[key.id]
            if (stored?.startedAt == record?.startedAt && stored?.leaving == record?.leaving) return
            endpoints[key.id] = record?.copy(sequence = record.sequence + random.nextLong(1, 4))
        }
        put(key)
    }

    private fun put(key: ItemKey) {
        if (!isUp()) {
            clock.after(RETRY_MS) { put(key) }
            return
        }
        val record = when (key) {
            is ItemKey.Table ->
                PublishedRecord.Table(sampleTable.copy(version = TableVersion(tableVersion)))

            is ItemKey.DataCentre ->
                PublishedRecord.DataCentreOut(key.id).takeIf { key.id in dataCentresOut }

            is ItemKey.Endpoint -> endpoints[key.id]?.let { PublishedRecord.Endpoint(it) }
        }
        if (store.items[key] != record) write(key, record)
    }

    private companion object {
        const val ENDPOINTS = 5
        const val DATA_CENTRES = 3
        const val KINDS = 8
        const val RETRY_MS = 50.0

        /** How long an endpoint that leaves goes on at least, unless it crashes. */
        const val DRAIN_MS = 1500.0

        /** What the store lost is written again within two seconds. */
        const val REWRITE_MS = 1950.0

        /** Operators may take longer, but not as long as a restore. */
        const val SLOW_OPERATOR_MS = 5000.0

        /** Three heartbeats, after which the record of a silent endpoint lapses. */
        const val LAPSE_MS = 3600.0
    }
}
