/*
 * Records that are read from another gateway while the store does not answer this one.
 */
package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.exchange.Member
import org.gypsumroute.core.gateway.exchange.reportsAt
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/**
 * Reads the records of the gateway with the latest position if that is later than this gateway's,
 * while the store does not answer or has not yet provided a routing table.
 */
internal fun readFromPeerIfNewer(state: GatewayState): Step<GatewayState> {
    val published = state.published
    if (published.peerReadPending || (published.storeReachable && published.table != null)) {
        return state.step()
    }
    val (address, member) = newestMember(state) ?: return state.step()
    return state.copy(published = published.copy(peerReadPending = true))
        .step(PublishedEffect.ReadFromPeer(member.report.host, address))
}

/**
 * The gateway with the latest of the records that are newer than this gateway's. One that no longer
 * reports has probably ended, and the one that failed last is asked only if no other has any.
 */
private fun newestMember(state: GatewayState): Map.Entry<EndpointAddress, Member>? {
    val published = state.published
    val newer = state.exchange.members.entries.filter { (_, member) ->
        member.report.position > published.position && reportsAt(state.common.now, member)
    }
    return newer.filter { it.value.report.host != published.failedPeer }.ifEmpty { newer }
        .maxByOrNull { it.value.report.position }
}

internal fun reducePeerRecords(
    state: GatewayState,
    event: PublishedEvent.PeerRecordsRead
): Step<GatewayState> {
    val noted = withFailedPeer(notePeerAnswer(state), null)
    if (event.position <= noted.published.position) return noted.step()
    return learnEra(noted, event.position.era, event.peer.value)
        .then { applySnapshot(it, event.peer.value, event.position, event.records, event.items) }
}

internal fun reducePeerReadFailed(
    state: GatewayState,
    event: PublishedEvent.PeerReadFailed
): Step<GatewayState> = withFailedPeer(notePeerAnswer(state), event.peer).step(
    logEffect(LogEvent.PEER_RECORDS_FAILED, "member" to event.peer, "cause" to event.cause)
)

private fun withFailedPeer(state: GatewayState, peer: HostId?): GatewayState =
    state.copy(published = state.published.copy(failedPeer = peer))

internal fun notePeerAnswer(state: GatewayState): GatewayState =
    state.copy(published = state.published.copy(peerReadPending = false))
