/*
 * The reducer of an entry. It applies each event to the state that all roles share first, and then
 * to requests, leases and answers.
 */
package org.gypsumroute.core

import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.Event
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.actions.reduceActionKeyIssued
import org.gypsumroute.core.admission.reduceCaller
import org.gypsumroute.core.drain.failOpenRequests
import org.gypsumroute.core.drain.finishDrain
import org.gypsumroute.core.drain.limitDrain
import org.gypsumroute.core.groups.reduceSegmentReady
import org.gypsumroute.core.leases.reduceGrantIssued
import org.gypsumroute.core.leases.reduceGrantRefused
import org.gypsumroute.core.leases.reduceWorkFailed
import org.gypsumroute.core.leases.releaseIneligibleLeases
import org.gypsumroute.core.peers.reconcilePeers
import org.gypsumroute.core.peers.reducePeerTick
import org.gypsumroute.core.peers.sendTo
import org.gypsumroute.core.requests.expireRequests
import org.gypsumroute.core.requests.failLateReaders
import org.gypsumroute.core.requests.reduceAnswer
import org.gypsumroute.core.requests.reduceAttemptTimer
import org.gypsumroute.core.requests.reduceEndpointConnected
import org.gypsumroute.core.requests.reduceEndpointDisconnected
import org.gypsumroute.core.requests.reduceSilenceTimer

internal fun reduceEntry(state: EntryState, event: Event): Step<EntryState> =
    state.updateCommon { reduceCommon(it, event) }
        .then { next -> next.updateCommon { updateReadiness(it) } }
        .then { reduceEntryEvent(it, state, event) }
        .then { finishDrain(it) }

private fun reduceEntryEvent(
    state: EntryState,
    previous: EntryState,
    event: Event
): Step<EntryState> = when (event) {
    is RuntimeEvent.ClockRead -> expireRequests(state)

    is RuntimeEvent.DrainRequested -> limitDrain(state, previous)

    is RuntimeEvent.TimerFired -> reduceEntryTimer(state, event.timer)

    is PlatformEvent.HostsRead ->
        state.updateCommon { reconcilePeers(it) }.then { releaseIneligibleLeases(it) }

    is PlatformEvent.DocumentRead -> releaseIneligibleLeases(state)

    is PeerEvent.Connected -> reduceEndpointConnected(state, event)

    is PeerEvent.Disconnected -> reduceEndpointDisconnected(state, previous, event)

    is PeerEvent.Received -> reduceEntryMessage(state, event)

    is CallerEvent -> reduceCaller(state, event)

    is AnswerEvent -> reduceAnswer(state, event)

    else -> state.step()
}

private fun reduceEntryTimer(state: EntryState, timer: TimerId): Step<EntryState> = when (timer) {
    is TimerId.Attempt -> reduceAttemptTimer(state, timer.request)
    is TimerId.PeerSilence -> reduceSilenceTimer(state, timer.peer)
    is TimerId.Heartbeat -> reduceEntryHeartbeat(state)
    is TimerId.DrainLimit -> failOpenRequests(state)
    else -> state.step()
}

private fun reduceEntryMessage(state: EntryState, event: PeerEvent.Received): Step<EntryState> =
    when (val message = event.message) {
        is PeerMessage.GrantIssued -> reduceGrantIssued(state, event, message.lease)
        is PeerMessage.GrantRefused -> reduceGrantRefused(state, message.lease, message.failure)
        is PeerMessage.SegmentReady -> reduceSegmentReady(state, message)
        is PeerMessage.WorkFailed -> reduceWorkFailed(state, message.lease, message.failure)
        is PeerMessage.ActionKeyIssued -> reduceActionKeyIssued(state, message)
        else -> state.step()
    }

/** Sends heartbeats, and to each peer a renewal of all leases that this entry has there. */
private fun reduceEntryHeartbeat(state: EntryState): Step<EntryState> =
    state.updateCommon { reducePeerTick(it, state.leasesByHost.keys) }
        .then { next -> Step(next, renewals(next)) }
        .then { failLateReaders(it) }

private fun renewals(state: EntryState) = state.leasesByHost.mapNotNull { (host, leases) ->
    sendTo(state.common, host, PeerMessage.LeaseRenewal(leases.toList()))
}

/** Applies a step to the state that all roles share. */
internal inline fun EntryState.updateCommon(
    change: (CommonState) -> Step<CommonState>
): Step<EntryState> = change(common).map { if (it === common) this else copy(common = it) }
