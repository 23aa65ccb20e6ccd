/*
 * The agent's part of the reducer: passes each event to the reducers that handle it.
 *
 * Leases expire on the clock reading that precedes every event. After a pause, the process thus
 * drops expired leases before it handles the events that arrived meanwhile.
 */
package org.gypsumroute.core

import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.Event
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.actions.answerActionKeyRequest
import org.gypsumroute.core.admission.grantQueuedWork
import org.gypsumroute.core.admission.refuseUnservable
import org.gypsumroute.core.admission.requestGrant
import org.gypsumroute.core.drain.finishDrain
import org.gypsumroute.core.engine.reduceCallEnded
import org.gypsumroute.core.engine.reduceCallFailed
import org.gypsumroute.core.engine.reduceCancelConfirmed
import org.gypsumroute.core.engine.reduceFirstToken
import org.gypsumroute.core.engine.reduceHandleReleased
import org.gypsumroute.core.engine.reduceOrderAnswered
import org.gypsumroute.core.engine.reduceOrderTimer
import org.gypsumroute.core.engine.reduceSegmentExported
import org.gypsumroute.core.engine.reduceStreamEnded
import org.gypsumroute.core.engine.reduceStreamFailed
import org.gypsumroute.core.leases.checkEngine
import org.gypsumroute.core.leases.dispatch
import org.gypsumroute.core.leases.endLeasesOfEarlierIncarnation
import org.gypsumroute.core.leases.expireLeases
import org.gypsumroute.core.leases.reduceStateRead
import org.gypsumroute.core.leases.reduceUnreachable
import org.gypsumroute.core.leases.releaseLease
import org.gypsumroute.core.leases.renewLeases
import org.gypsumroute.core.peers.endpointSummary
import org.gypsumroute.core.peers.sendTo
import org.gypsumroute.core.requests.dispatch
import org.gypsumroute.core.requests.releaseLease
import org.gypsumroute.core.requests.startWork

internal fun reduceAgent(state: AgentState, event: Event): Step<AgentState> =
    reduceCommon(state.common, event)
        .then { updateReadiness(it) }
        .map { state.copy(common = it) }
        .then { reduceAgentEvent(it, event) }
        .then { if (event is RuntimeEvent.ClockRead) it.step() else completeEvent(it) }

private fun reduceAgentEvent(state: AgentState, event: Event): Step<AgentState> = when (event) {
    is RuntimeEvent.ClockRead -> expireLeases(state)
    is RuntimeEvent.Started -> checkEngine(state)
    is RuntimeEvent.TimerFired -> reduceAgentTimer(state, event.timer)
    is PeerEvent.Connected -> endLeasesOfEarlierIncarnation(state, event)
    is PeerEvent.Received -> reduceAgentMessage(state, event)
    is EngineEvent -> reduceEngineEvent(state, event)
    else -> state.step()
}

/** Steps that any event can make possible: refusing or granting queued work, ending a drain. */
private fun completeEvent(state: AgentState): Step<AgentState> =
    refuseUnservable(state).then { grantQueuedWork(it) }.then { finishDrain(it) }

private fun reduceAgentTimer(state: AgentState, timer: TimerId): Step<AgentState> = when (timer) {
    is TimerId.EngineCheck -> checkEngine(state)
    is TimerId.EngineOrder -> reduceOrderTimer(state)
    else -> state.step()
}

/**
 * Handles a message on the current connection. Messages on a replaced connection are dropped; the
 * entry repeats those that still matter on the new one.
 */
private fun reduceAgentMessage(state: AgentState, event: PeerEvent.Received): Step<AgentState> {
    if (state.common.peers[event.peer]?.connection != event.connection) return state.step()
    return when (val message = event.message) {
        is PeerMessage.Heartbeat -> answerHeartbeat(state, event.peer)
        is PeerMessage.GrantRequest -> requestGrant(state, event.peer, message.order)
        is PeerMessage.Dispatch -> dispatch(state, event.peer, message)
        is PeerMessage.LeaseRenewal -> renewLeases(state, event.peer, message.leases)
        is PeerMessage.LeaseRelease -> releaseLease(state, event.peer, message.lease)
        is PeerMessage.ActionKeyRequest -> answerActionKeyRequest(state, event.peer, message)
        else -> state.step()
    }
}

private fun reduceEngineEvent(state: AgentState, event: EngineEvent): Step<AgentState> =
    when (event) {
        is EngineEvent.StateRead -> reduceStateRead(state, event.state)
        is EngineEvent.Unreachable -> reduceUnreachable(state, event.cause)
        is EngineEvent.BodyReceived -> startWork(state, event.lease)
        is EngineEvent.FirstToken -> reduceFirstToken(state, event)
        is EngineEvent.StreamEnded -> reduceStreamEnded(state, event.lease)
        is EngineEvent.SegmentExported -> reduceSegmentExported(state, event)
        is EngineEvent.StreamFailed -> reduceStreamFailed(state, event)
        is EngineEvent.CancelConfirmed -> reduceCancelConfirmed(state, event.lease)
        is EngineEvent.HandleReleased -> reduceHandleReleased(state, event.handle)
        is EngineEvent.CallEnded -> reduceCallEnded(state, event)
        is EngineEvent.CallFailed -> reduceCallFailed(state, event)
        is EngineEvent.OrderAnswered -> reduceOrderAnswered(state, event)
        is EngineEvent.CacheChanged -> state.step()
    }

private fun answerHeartbeat(state: AgentState, peer: HostId): Step<AgentState> {
    val answer = PeerMessage.Heartbeat(state.common.documents.hash, endpointSummary(state))
    return Step(state, listOfNotNull(sendTo(state.common, peer, answer)))
}
