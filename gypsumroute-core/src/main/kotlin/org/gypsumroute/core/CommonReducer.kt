/*
 * Handles the events that entries and agents treat alike.
 */
package org.gypsumroute.core

import org.gypsumroute.api.Event
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.documents.reduceConfigurationReadEnded
import org.gypsumroute.core.documents.reduceDocumentRead
import org.gypsumroute.core.documents.reduceDocumentReadTimer
import org.gypsumroute.core.documents.reduceDocumentRequest
import org.gypsumroute.core.documents.reduceDocumentsHash
import org.gypsumroute.core.documents.requestNewerDocuments
import org.gypsumroute.core.drain.DrainPhase
import org.gypsumroute.core.peers.dropSilentPeers
import org.gypsumroute.core.peers.recordPeerActivity
import org.gypsumroute.core.peers.reduceHostsRead
import org.gypsumroute.core.peers.reduceHostsUnavailable
import org.gypsumroute.core.peers.reducePeerConnectTimer
import org.gypsumroute.core.peers.reducePeerConnected
import org.gypsumroute.core.peers.reducePeerDisconnected

/** Applies an event to the shared state; the reducers of entries and agents call it first. */
internal fun reduceCommon(common: CommonState, event: Event): Step<CommonState> = when (event) {
    is RuntimeEvent.ClockRead -> reduceClock(common, event)
    is RuntimeEvent.Started -> reduceStarted(common)
    is RuntimeEvent.DrainRequested -> reduceDrainRequested(common)
    is RuntimeEvent.TimerFired -> reduceCommonTimer(common, event.timer)
    is PlatformEvent.DocumentRead -> reduceDocumentRead(common, event)
    is PlatformEvent.ConfigurationReadEnded -> reduceConfigurationReadEnded(common, event.succeeded)
    is PlatformEvent.HostsRead -> reduceHostsRead(common, event)
    is PlatformEvent.HostsUnavailable -> reduceHostsUnavailable(common, event)
    is PeerEvent.Connected -> reducePeerConnected(common, event)
    is PeerEvent.Disconnected -> reducePeerDisconnected(common, event)
    is PeerEvent.Received -> reduceCommonMessage(common, event)
    else -> common.step()
}

private fun reduceStarted(common: CommonState): Step<CommonState> = common.step(
    logEffect(
        LogEvent.PROCESS_STARTED,
        "host" to common.node.host,
        "role" to common.node.role,
        "incarnation" to common.node.incarnation
    ),
    PlatformEffect.ReadHosts,
    PlatformEffect.ReadDocuments,
    RuntimeEffect.SetTimer(TimerId.Startup, common.timings.startupWait),
    RuntimeEffect.SetTimer(TimerId.Heartbeat, common.timings.activeHeartbeat)
)

internal fun reduceDrainRequested(common: CommonState): Step<CommonState> =
    if (common.drain != DrainPhase.SERVING) {
        common.step()
    } else {
        common.copy(drain = DrainPhase.DRAINING, ready = false).step(
            logEffect(LogEvent.DRAIN_STARTED),
            RuntimeEffect.SetReady(false)
        )
    }

private fun reduceCommonTimer(common: CommonState, timer: TimerId): Step<CommonState> =
    when (timer) {
        is TimerId.Startup -> common.copy(startupWaitElapsed = true).step()
        is TimerId.DocumentRead -> reduceDocumentReadTimer(common)
        is TimerId.HostListRead -> common.step(PlatformEffect.ReadHosts)
        is TimerId.PeerConnect -> reducePeerConnectTimer(common, timer.peer)
        is TimerId.Heartbeat -> reduceHeartbeatTimer(common)
        else -> common.step()
    }

private fun reduceHeartbeatTimer(common: CommonState): Step<CommonState> {
    val next = RuntimeEffect.SetTimer(TimerId.Heartbeat, common.timings.activeHeartbeat)
    val step = common.step(next)
    return if (common.node.role == NodeRole.AGENT) step.then { dropSilentPeers(it) } else step
}

private fun reduceCommonMessage(common: CommonState, event: PeerEvent.Received): Step<CommonState> {
    val message = event.message
    val summary = when (message) {
        is PeerMessage.Heartbeat -> message.summary
        is PeerMessage.GrantIssued -> message.summary
        is PeerMessage.GrantRefused -> message.summary
        else -> null
    }
    val updated = recordPeerActivity(common, event, summary)
    return when (message) {
        is PeerMessage.Heartbeat -> reduceDocumentsHash(updated, event.peer, message.documentsHash)

        is PeerMessage.DocumentVersions -> requestNewerDocuments(
            updated,
            event.peer,
            message.stamps
        )

        is PeerMessage.DocumentRequest -> reduceDocumentRequest(
            updated,
            event.peer,
            message.service
        )

        else -> updated.step()
    }
}

/**
 * Updates whether the process is ready for traffic: it has documents, the first read of the
 * configuration service has ended (successfully or not), and peers have had the start-up wait to
 * send their documents. A process that was ready with only a part of the documents would refuse
 * requests for the other services as unknown.
 */
internal fun updateReadiness(common: CommonState): Step<CommonState> {
    val hasDocuments = common.documents.firstReadEnded && common.documents.accepted.isNotEmpty()
    val ready = common.drain == DrainPhase.SERVING && common.startupWaitElapsed && hasDocuments
    if (ready == common.ready) return common.step()
    val next = common.copy(ready = ready)
    val effect = RuntimeEffect.SetReady(ready)
    return if (ready) next.step(logEffect(LogEvent.PROCESS_READY), effect) else next.step(effect)
}
