/*
 * Records that are read from another gateway while the store does not answer this one.
 */
package org.gypsumroute.core.gateway

import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step

/**
 * Reads the records of the gateway with the latest revision if that is later than this gateway's,
 * while the store does not answer or has not yet provided a routing table.
 */
internal fun readFromPeerIfNewer(state: GatewayState): Step<GatewayState> {
    val published = state.published
    if (published.peerReadPending || (published.storeReachable && published.table != null)) {
        return state.step()
    }
    val (address, member) = state.exchange.members.entries
        .maxByOrNull { it.value.report.revision }
        ?.takeIf { it.value.report.revision > published.revision } ?: return state.step()
    return state.copy(published = published.copy(peerReadPending = true))
        .step(PublishedEffect.ReadFromPeer(member.report.host, address))
}

internal fun reducePeerRecords(
    state: GatewayState,
    event: PublishedEvent.PeerRecordsRead
): Step<GatewayState> {
    val noted = notePeerAnswer(state)
    if (event.revision <= noted.published.revision) return noted.step()
    return applySnapshot(noted, event.peer.value, event.revision, event.records)
}

internal fun reducePeerReadFailed(
    state: GatewayState,
    event: PublishedEvent.PeerReadFailed
): Step<GatewayState> = notePeerAnswer(state).step(
    logEffect(LogEvent.PEER_RECORDS_FAILED, "member" to event.peer, "cause" to event.cause)
)

internal fun notePeerAnswer(state: GatewayState): GatewayState =
    state.copy(published = state.published.copy(peerReadPending = false))
