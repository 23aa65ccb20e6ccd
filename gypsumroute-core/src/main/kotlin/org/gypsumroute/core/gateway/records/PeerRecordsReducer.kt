/*
 * Records that are read from another gateway: while the store does not answer this one, and a
 * routing table that the store lost.
 */
package org.gypsumroute.core.gateway.records

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Step
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TableVersion
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.exchange.Member
import org.gypsumroute.core.gateway.exchange.reportsAt
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/**
 * Reads the records of another gateway if they are newer than this gateway's, or if it has a
 * routing table that the store lost.
 */
internal fun readFromPeerIfNewer(state: GatewayState): Step<GatewayState> {
    val published = state.published
    if (published.peerReadPending ||
        state.common.now < published.nextPeerReadAt
    ) {
        return state.step()
    }
    val isFollowed = published.storeReachable && published.table != null
    val (address, member) = (if (isFollowed) null else newestMember(state))
        ?: memberWithLostTable(state)
        ?: return state.step()
    return state.copy(published = published.copy(peerReadPending = true))
        .step(PublishedEffect.ReadFromPeer(member.report.host, address))
}

/** The gateway with the latest of the records that this gateway would take over. */
private fun newestMember(state: GatewayState): Map.Entry<EndpointAddress, Member>? =
    reportingMembers(state) { isTakenOver(state, it.position) }
        .maxByOrNull { it.value.report.position }

/**
 * Whether all records as of a position would be taken over: if they are newer, or at the end of a
 * restore, when all records are necessary, as new as those in force.
 */
private fun isTakenOver(state: GatewayState, position: StorePosition): Boolean {
    val published = state.published
    val isAsNew = published.reads.fullReadAfter != null && position == published.position
    return position > published.position || isAsNew
}

/**
 * The gateway with the latest table that is later than this gateway's although its records are not.
 * Tables only get later as the store goes on, so the store came back from a copy without that one.
 */
private fun memberWithLostTable(state: GatewayState): Map.Entry<EndpointAddress, Member>? =
    reportingMembers(state) {
        it.position <= state.published.position && isLater(it.tableVersion, state)
    }.maxByOrNull { it.value.report.tableVersion ?: TableVersion(0) }

private fun isLater(version: TableVersion?, state: GatewayState): Boolean {
    val held = state.published.table?.version
    return version != null && (held == null || version > held)
}

/**
 * The gateways whose reports fit. One that no longer reports has probably ended, and the one that
 * failed last is asked only if no other fits.
 */
private fun reportingMembers(
    state: GatewayState,
    fits: (GatewayReport) -> Boolean
): List<Map.Entry<EndpointAddress, Member>> {
    val fitting = state.exchange.members.entries.filter { (_, member) ->
        reportsAt(state.common.now, member) && fits(member.report)
    }
    return fitting.filter { it.value.report.host != state.published.failedPeer }.ifEmpty { fitting }
}

internal fun reducePeerRecords(
    state: GatewayState,
    event: PublishedEvent.PeerRecordsRead
): Step<GatewayState> {
    val noted = withFailedPeer(notePeerAnswer(state), null)
    if (!isTakenOver(noted, event.position)) return acceptLostTable(noted, event)
    return learnEra(noted, event.position.era, event.peer.value)
        .then { applySnapshot(it, event.peer.value, event.position, event.records, event.items) }
        .then { withAllRecords(it).step() }
}

/** Accepts the table among records that are otherwise no newer, if it is later. */
private fun acceptLostTable(
    state: GatewayState,
    event: PublishedEvent.PeerRecordsRead
): Step<GatewayState> {
    val table = event.records.filterIsInstance<PublishedRecord.Table>().lastOrNull()
    if (!isLater(table?.table?.version, state) || table == null) return readLaterFromPeers(state)
    return acceptTable(state, table).then { keepTable(it, event.items) }
}

/** After records that brought nothing, the next report would lead to the same read again. */
private fun readLaterFromPeers(state: GatewayState): Step<GatewayState> {
    val next = state.common.now + FRUITLESS_PEER_READ_INTERVAL
    return state.copy(published = state.published.copy(nextPeerReadAt = next)).step()
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

private val FRUITLESS_PEER_READ_INTERVAL: Duration = 500.milliseconds
