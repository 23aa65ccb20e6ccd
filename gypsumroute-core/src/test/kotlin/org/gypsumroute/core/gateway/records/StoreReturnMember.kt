/*
 * A gateway of a run in which the store comes back from an older copy: one process after the other,
 * each with the real reducer.
 */
package org.gypsumroute.core.gateway.records

import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.Event
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.KeptRecords
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TableVersion
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.NodeState
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.reduce

/** How calls of the store end for one gateway or all of them. */
internal enum class StoreAccess { ANSWERS, REFUSES, SILENT }

internal class StoreReturnMember(index: Int, private val seeds: List<EndpointAddress>) {
    val host = HostId("gateway-$index")
    val address = addressOf(index)
    var access = StoreAccess.ANSWERS

    /** The process that runs, or null between two of them. */
    var process: Process? = null
        private set
    private var starts = 0

    fun start(at: Double): Process = Process(++starts, at).also { process = it }

    fun stop() {
        process = null
    }

    inner class Process(private val number: Int, val startedAt: Double) {
        val name = "${host.value}#$number"
        private val harness = GatewayHarness(
            startedAt = UnixTime(startedAt.toLong()),
            reducer = { state, event -> reduce(identified(state), event) }
        )
        val state: GatewayState get() = harness.state
        val checks = StoreReturnChecks(this)

        /** The records that are served to other gateways, as of their position. */
        var servedPosition = StorePosition.NONE
            private set
        var served: Map<ItemKey, PublishedRecord> = emptyMap()
            private set

        /** The versions that other processes reported early enough after the start. */
        val reportedVersions = HashMap<Process, TableVersion>()
        var peerReadFailed = false
        val isRunning: Boolean get() = process === this

        fun begin(): List<Effect> = feed(RuntimeEvent.Started)

        fun feed(event: Event): List<Effect> = harness.feed(event)

        fun advance(milliseconds: Long): List<Effect> = harness.advance(milliseconds.milliseconds)

        fun keep(effect: PublishedEffect.KeepRecords) {
            val read = (effect.items as ItemsRead).values
            served = when (effect.kept) {
                KeptRecords.ALL -> presentOf(read)
                KeptRecords.ALL_BUT_TABLE -> presentOf(read).withTableOf(served)
                KeptRecords.CHANGED -> presentOf(served + read)
                KeptRecords.CHANGED_BUT_TABLE -> presentOf(served + read).withTableOf(served)
                KeptRecords.TABLE -> served.withTableOf(presentOf(read))
            }
            servedPosition = effect.position
        }

        private fun identified(state: NodeState): NodeState {
            val gateway = state as GatewayState
            if (gateway.common.node.incarnation.value == name) return state
            val node = gateway.common.node.copy(host = host, incarnation = IncarnationId(name))
            return gateway.copy(
                common = gateway.common.copy(node = node),
                exchange = gateway.exchange.copy(ownAddress = address, seeds = seeds)
            )
        }
    }

    companion object {
        fun addressOf(index: Int) = EndpointAddress("10.0.0.${index + 1}", 7000)

        private fun presentOf(items: Map<ItemKey, PublishedRecord?>) = buildMap {
            for ((key, record) in items) if (record != null) put(key, record)
        }

        private fun Map<ItemKey, PublishedRecord>.withTableOf(
            held: Map<ItemKey, PublishedRecord>
        ): Map<ItemKey, PublishedRecord> =
            held[ItemKey.Table]?.let { plus(ItemKey.Table to it) } ?: this
    }
}
