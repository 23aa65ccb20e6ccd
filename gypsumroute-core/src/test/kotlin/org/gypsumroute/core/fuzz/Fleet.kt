package org.gypsumroute.core.fuzz

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.DocumentStamp
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.core.Policies
import org.gypsumroute.core.Timings

/**
 * A simulated fleet of a few entries and agents. Their reducers run in virtual time, and the
 * actions of a property inject faults. To stay small, it has no bytes, sockets or HTTP.
 */
internal class Fleet(val policies: Policies, seed: Long) {
    private val random = Random(seed)
    val schedule = Schedule()
    val oracle = RequestOracle()
    val platform = SimulatedPlatform()
    val timings = Timings()
    val keys = mutableListOf<ActionKey>()
    val links = mutableListOf<SimulatedLink>()
    private val partitionedPairs = mutableSetOf<Pair<HostId, HostId>>()
    private val highestStamps = mutableMapOf<Pair<IncarnationId, ServiceId>, DocumentStamp>()
    private var linkCount = 0L
    var requestCount = 0L

    val entries = listOf(entry("entry-1", "thamel"), entry("entry-2", "patan"))
    val agents = listOf(
        agent("agent-1", "thamel", "menu"),
        agent("agent-2", "thamel", "menu"),
        agent("agent-3", "patan", "menu"),
        agent("agent-4", "patan", "menu"),
        agent("agent-5", "thamel", "desk"),
        agent("agent-6", "patan", "desk")
    )
    val processes: List<SimulatedProcess> = entries + agents

    fun entropy(): Long = random.nextLong()

    fun latency(): Duration = random.nextInt(1, MAX_LATENCY_MS).milliseconds

    fun workTime(): Duration = random.nextInt(MIN_WORK_TIME_MS, MAX_WORK_TIME_MS).milliseconds

    fun startAll() {
        platform.changeHosts(processes.map { it.record })
        processes.forEach { it.start() }
        schedule.advance(STARTUP_TIME)
    }

    fun connect(entry: EntryProcess, record: HostRecord) {
        val agent = agents.first { it.record.host == record.host }
        val from = entry.incarnation
        schedule.after(latency()) {
            when {
                !entry.alive || entry.incarnation != from -> Unit
                agent.serving && !isPartitioned(entry, agent) -> openLink(entry, agent)
                else -> entry.offer(PeerEvent.Disconnected(record.host, null, "no answer"))
            }
        }
    }

    private fun openLink(entry: EntryProcess, agent: AgentProcess) {
        val link = SimulatedLink(ConnectionId(++linkCount), entry, agent)
        links += link
        entry.links += link
        agent.links += link
        entry.offer(connected(link, agent))
        agent.offer(connected(link, entry))
    }

    private fun connected(link: SimulatedLink, peer: SimulatedProcess) = PeerEvent.Connected(
        peer.record.host,
        link.id,
        peer.incarnation,
        peer.record.role,
        peer.record.dataCentre
    )

    fun closeLink(link: SimulatedLink, cause: String) {
        if (!link.open) return
        link.open = false
        links.remove(link)
        link.entry.links.remove(link)
        link.agent.links.remove(link)
        if (!link.silentToEntry) {
            link.entry.offerLater(PeerEvent.Disconnected(link.agent.record.host, link.id, cause))
        }
        if (!link.silentToAgent) {
            link.agent.offerLater(PeerEvent.Disconnected(link.entry.record.host, link.id, cause))
        }
    }

    fun toAgent(link: SimulatedLink, frame: SimulatedFrame) {
        if (!link.open || link.silentToAgent) return
        deliverInOrder(link, toAgent = true) {
            if (link.open && !link.silentToAgent &&
                link.agent.alive
            ) {
                link.agent.receive(link, frame)
            }
        }
    }

    fun toEntry(link: SimulatedLink, frame: SimulatedFrame) {
        if (!link.open || link.silentToEntry) return
        deliverInOrder(link, toAgent = false) {
            if (link.open && !link.silentToEntry &&
                link.entry.alive
            ) {
                link.entry.receive(link, frame)
            }
        }
    }

    private val lastDelivery = mutableMapOf<Pair<SimulatedLink, Boolean>, Long>()

    // Delivers the frames of each direction in the order in which they were sent, as TCP does.
    private fun deliverInOrder(link: SimulatedLink, toAgent: Boolean, deliver: () -> Unit) {
        val earliest = lastDelivery[link to toAgent] ?: 0
        val at = maxOf(earliest, (schedule.now + latency()).milliseconds)
        lastDelivery[link to toAgent] = at
        schedule.after((at - schedule.now.milliseconds).milliseconds, deliver)
    }

    fun partition(entry: EntryProcess, agent: AgentProcess) {
        partitionedPairs += entry.record.host to agent.record.host
        links.filter { it.entry == entry && it.agent == agent }.forEach(::silence)
    }

    fun silence(link: SimulatedLink) {
        link.silentToAgent = true
        link.silentToEntry = true
    }

    /** Ends every fault: all processes run, all paths work, and engines carry out cancels. */
    fun heal() {
        partitionedPairs.clear()
        platform.recover()
        for (agent in agents) {
            agent.engine.reachable = true
            agent.engine.dropsCancels = false
        }
        for (process in processes) {
            if (process.paused) process.resume()
            if (!process.alive) process.start()
        }
    }

    fun isPartitioned(entry: EntryProcess, agent: AgentProcess): Boolean =
        (entry.record.host to agent.record.host) in partitionedPairs

    /** Checks that no process replaces an accepted document by an older one until it restarts. */
    fun checkDocumentStamps(process: SimulatedProcess) {
        for ((service, document) in process.state.common.documents.accepted) {
            val before = highestStamps.put(process.incarnation to service, document.stamp)
            if (before != null && before > document.stamp) {
                oracle.violations +=
                    "${process.record.host} went back from $before to ${document.stamp}"
            }
        }
    }

    private fun entry(host: String, dataCentre: String) =
        EntryProcess(this, record(host, NodeRole.ENTRY, dataCentre, null))

    private fun agent(host: String, dataCentre: String, pool: String) = AgentProcess(
        this,
        record(host, NodeRole.AGENT, dataCentre, PoolId(pool)),
        SimulatedEngine("engine-of-$host", ENGINE_MEMORY_TOKENS)
    )

    private fun record(host: String, role: NodeRole, dataCentre: String, pool: PoolId?) =
        HostRecord(
            HostId(host),
            role,
            RegionId("bagmati"),
            DataCentreId(dataCentre),
            "127.0.0.1",
            1,
            pool
        )

    private companion object {
        const val MAX_LATENCY_MS = 20
        const val MIN_WORK_TIME_MS = 5
        const val MAX_WORK_TIME_MS = 400
        const val ENGINE_MEMORY_TOKENS = 40_000L
        val STARTUP_TIME = 5.seconds
    }
}
