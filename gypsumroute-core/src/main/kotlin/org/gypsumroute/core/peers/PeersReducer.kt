/*
 * Connections between entries and agents.
 *
 * An entry opens one connection to each endpoint of its subset and sends heartbeats, which the
 * agent answers. If a connection goes silent, the entry first opens a new one and only then
 * decides whether the peer has failed, because a connection can break while new ones to the same
 * peer work.
 */
package org.gypsumroute.core.peers

import kotlin.time.Duration
import kotlinx.collections.immutable.mutate
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.thenEach
import org.gypsumroute.core.unitInterval

internal fun reducePeerConnected(
    common: CommonState,
    event: PeerEvent.Connected
): Step<CommonState> {
    val before = common.peers[event.peer]
    val link = PeerLink(
        peer = event.peer,
        connection = event.connection,
        incarnation = event.incarnation,
        summary = before?.summary.takeIf { before?.incarnation == event.incarnation },
        lastSent = common.now,
        lastReceived = common.now
    )
    val closeReplaced = before?.connection?.let { PeerEffect.Disconnect(it) }
    val next = common.withLink(link)
    val stamps = PeerMessage.DocumentVersions(common.documents.stamps())
    return Step(
        next,
        listOfNotNull(
            closeReplaced,
            RuntimeEffect.CancelTimer(TimerId.PeerSilence(event.peer)),
            logEffect(LogEvent.PEER_CONNECTED, "peer" to event.peer),
            sendTo(next, event.peer, stamps)
        )
    )
}

internal fun reducePeerDisconnected(
    common: CommonState,
    event: PeerEvent.Disconnected
): Step<CommonState> {
    val link = common.peers[event.peer] ?: return common.step()
    val alreadyReplaced = event.connection != null && event.connection != link.connection
    return when {
        alreadyReplaced -> common.step()

        common.node.role == NodeRole.AGENT ->
            common.copy(peers = common.peers.remove(event.peer)).step(logDisconnected(event))

        else -> retryConnection(common, link, event)
    }
}

private fun retryConnection(
    common: CommonState,
    link: PeerLink,
    event: PeerEvent.Disconnected
): Step<CommonState> {
    val attempts = link.failedAttempts + 1
    val disconnected = link.copy(
        connection = if (event.connection == null) link.connection else null,
        connecting = false,
        failedAttempts = attempts,
        silentSince = link.silentSince ?: common.now
    )
    val effects = listOfNotNull(
        logDisconnected(event),
        RuntimeEffect.SetTimer(TimerId.PeerConnect(link.peer), connectBackoff(common, attempts)),
        startSilenceTimer(common, link)
    )
    return Step(common.withLink(disconnected), effects)
}

/** Records a message from the peer on its current connection, and stores the peer's summary. */
internal fun recordPeerActivity(
    common: CommonState,
    event: PeerEvent.Received,
    summary: EndpointSummary?
): CommonState {
    val link = common.peers[event.peer] ?: return common
    if (link.connection != event.connection) return common
    return common.withLink(
        link.copy(
            lastReceived = common.now,
            heartbeatUnansweredSince = null,
            silentSince = null,
            failedAttempts = 0,
            summary = summary ?: link.summary
        )
    )
}

/**
 * Periodic work of an entry: sends heartbeats and replaces connections that went silent. [active]
 * are the peers at which this entry has leases.
 */
internal fun reducePeerTick(common: CommonState, active: Set<HostId>): Step<CommonState> =
    common.step().thenEach(common.peers.values) { state, link ->
        if (link.connection == null) state.step() else tickLink(state, link, link.peer in active)
    }

private fun tickLink(common: CommonState, link: PeerLink, active: Boolean): Step<CommonState> {
    val connection = link.connection ?: return common.step()
    val interval =
        if (active) common.timings.activeHeartbeat else common.timings.idleHeartbeat
    val silenceLimit = common.timings.activeHeartbeat * common.timings.missedHeartbeats
    val silent = link.heartbeatUnansweredSince?.let { common.now - it > silenceLimit } ?: false
    return when {
        silent && !link.connecting -> replaceConnection(common, link)
        common.now - link.lastSent >= interval -> sendHeartbeat(common, link, connection)
        else -> common.step()
    }
}

private fun sendHeartbeat(
    common: CommonState,
    link: PeerLink,
    connection: ConnectionId
): Step<CommonState> {
    val sent = link.copy(
        lastSent = common.now,
        heartbeatUnansweredSince = link.heartbeatUnansweredSince ?: common.now
    )
    return common.withLink(sent)
        .step(PeerEffect.Send(connection, PeerMessage.Heartbeat(common.documents.hash, null)))
}

/** Restarts the detection of silent peers after a pause, when received messages wait unread. */
internal fun resetSilenceTracking(common: CommonState): CommonState {
    val peers = common.peers.mutate { links ->
        for ((peer, link) in common.peers) {
            links[peer] = link.copy(
                lastReceived = common.now,
                heartbeatUnansweredSince = link.heartbeatUnansweredSince?.let { common.now }
            )
        }
    }
    return common.copy(peers = peers)
}

private fun replaceConnection(common: CommonState, link: PeerLink): Step<CommonState> {
    val record = common.hosts[link.peer]
    if (record == null && link.silentSince != null) return common.step()
    val silent = link.copy(
        connecting = record != null,
        silentSince = link.silentSince ?: common.now
    )
    val effects = listOfNotNull(
        logEffect(LogEvent.PEER_SILENT, "peer" to link.peer),
        record?.let { PeerEffect.Connect(it) },
        startSilenceTimer(common, link)
    )
    return Step(common.withLink(silent), effects)
}

/**
 * Periodic work of an agent: drops connections on which no message arrived for some heartbeat
 * intervals. An agent with only such connections would count as connected to a peer and therefore
 * never read documents from the configuration service.
 */
internal fun dropSilentPeers(common: CommonState): Step<CommonState> {
    val silenceLimit = common.timings.idleHeartbeat * common.timings.missedHeartbeats
    val silent = common.peers.values.filter { common.now - it.lastReceived > silenceLimit }
    return common.step().thenEach(silent) { state, link ->
        val effects = listOfNotNull(
            logEffect(LogEvent.PEER_DISCONNECTED, "peer" to link.peer, "cause" to "silent"),
            link.connection?.let { PeerEffect.Disconnect(it) }
        )
        Step(state.copy(peers = state.peers.remove(link.peer)), effects)
    }
}

/**
 * Connects to the chosen endpoints, and removes closed links to hosts that are no longer listed.
 */
internal fun reconcilePeers(common: CommonState): Step<CommonState> {
    val chosen = chooseEndpoints(common)
    val missing = chosen.filter { it.host !in common.peers }
    val dropped = common.peers.values.filter { it.connection == null && it.peer !in common.hosts }
    val remaining = dropped.fold(common.peers) { peers, link -> peers.remove(link.peer) }
    return common.copy(peers = remaining).step().thenEach(missing) { state, record ->
        state.withLink(PeerLink(peer = record.host, connecting = true))
            .step(PeerEffect.Connect(record))
    }
}

internal fun reducePeerConnectTimer(common: CommonState, peer: HostId): Step<CommonState> {
    val link = common.peers[peer] ?: return common.step()
    val record = common.hosts[peer]
    return when {
        record == null && link.connection == null ->
            common.copy(peers = common.peers.remove(peer)).step()

        record == null || link.connecting -> common.step()

        link.connection != null && link.silentSince == null -> common.step()

        else -> common.withLink(link.copy(connecting = true)).step(PeerEffect.Connect(record))
    }
}

internal fun CommonState.withLink(link: PeerLink): CommonState =
    copy(peers = peers.put(link.peer, link))

private fun startSilenceTimer(common: CommonState, link: PeerLink): Effect? =
    if (link.silentSince != null) {
        null
    } else {
        RuntimeEffect.SetTimer(TimerId.PeerSilence(link.peer), common.timings.resumeTime)
    }

private fun connectBackoff(common: CommonState, attempts: Int): Duration {
    val doubled = common.timings.connectBackoff * (1 shl minOf(attempts - 1, MAX_BACKOFF_DOUBLINGS))
    val limited = minOf(doubled, common.timings.longestConnectBackoff)
    return limited * (1 + unitInterval(common.entropy)) / 2
}

private fun logDisconnected(event: PeerEvent.Disconnected): Effect = logEffect(
    LogEvent.PEER_DISCONNECTED,
    "peer" to event.peer,
    "cause" to event.cause
)

private const val MAX_BACKOFF_DOUBLINGS = 10
