/*
 * The entry side of actions, which run at most once. An action key binds an action to the agent
 * process that issued the key; only that process knows whether the action has run.
 */
package org.gypsumroute.core.actions

import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.peers.PeerLink
import org.gypsumroute.core.peers.sendTo
import org.gypsumroute.core.peers.withLink
import org.gypsumroute.core.requests.RequestPhase
import org.gypsumroute.core.requests.RequestRecord
import org.gypsumroute.core.requests.backoff
import org.gypsumroute.core.requests.entropyFor
import org.gypsumroute.core.requests.fail
import org.gypsumroute.core.requests.failWith
import org.gypsumroute.core.requests.requestLease
import org.gypsumroute.core.requests.retry
import org.gypsumroute.core.requests.scheduleNextAttempt
import org.gypsumroute.core.requests.setAttemptTimer
import org.gypsumroute.core.requests.withRequest
import org.gypsumroute.core.step
import org.gypsumroute.core.then

/** Requests a lease from the agent process that issued the action key, and from no other. */
internal fun placeAction(state: EntryState, record: RequestRecord): Step<EntryState> {
    val issuer = record.spec.actionKey?.let { actionKeyIssuer(it) }
    val document = state.common.documents.inForce(record.spec.service)
    val host = issuer?.let { state.common.hosts[it.host] }
    val link = issuer?.let { state.common.peers[it.host] }
    val restarted = link?.connection != null && link.incarnation != issuer.incarnation
    return when {
        document == null ->
            fail(state, record, ErrorKind.SERVICE_UNKNOWN, "the service was withdrawn")

        issuer == null || host == null || host.leaving || restarted ->
            fail(state, record, ErrorKind.ACTION_OUTCOME_UNKNOWN, "the key's issuer is gone")

        host.pool != document.pool -> failWith(
            state,
            record,
            Failure(ErrorKind.ACTION_KEY_INVALID, "the key was not issued by this service")
        )

        host.dataCentre in document.dataCentresOut ->
            fail(state, record, ErrorKind.DATA_CENTRE_OUT, "${host.dataCentre} is out")

        link?.connection == null || link.silentSince != null ->
            awaitIssuer(state, record, host, document)

        else -> {
            val asking = record.copy(phase = RequestPhase.ASKING, attempt = record.attempt + 1)
            requestLease(state.withRequest(asking), record.id, issuer.host)
        }
    }
}

private fun awaitIssuer(
    state: EntryState,
    record: RequestRecord,
    host: HostRecord,
    document: ServiceDocument
): Step<EntryState> {
    val backoffCount = record.backoffCount + 1
    val wait = backoff(document.retry, backoffCount, entropyFor(state, record.id))
    val waiting = scheduleNextAttempt(state, record.copy(backoffCount = backoffCount), wait)
    if (host.host in state.common.peers) return waiting
    return waiting.then { next ->
        val link = PeerLink(peer = host.host, connecting = true)
        next.copy(common = next.common.withLink(link)).step(PeerEffect.Connect(host))
    }
}

/**
 * Handles the refusal of an action that was not dispatched. After the loss of its lease
 * (`NO_ENDPOINT`) it is placed at the issuer again; it is retried if the agent reports that it has
 * not run and the cause is temporary. Only the agent can tell that an action has not run, so any
 * other refusal goes to the caller.
 */
internal fun reduceActionRefused(
    state: EntryState,
    record: RequestRecord,
    failure: Failure
): Step<EntryState> {
    val lost = failure.kind == ErrorKind.NO_ENDPOINT
    val again = failure.runState == RunState.NOT_RUN && failure.kind in RETRYABLE_REFUSALS
    return when {
        lost -> placeAction(state.withRequest(record), record)
        again -> retry(state.withRequest(record), record)
        else -> failWith(state, record, failure)
    }
}

internal fun requestActionKey(
    state: EntryState,
    record: RequestRecord,
    host: HostId
): Step<EntryState> {
    val asking = record.copy(
        phase = RequestPhase.ASKING,
        attempt = record.attempt + 1,
        keyRequestHost = host
    )
    val spec = record.spec
    val message = PeerMessage.ActionKeyRequest(record.id, spec.service, spec.organisation)
    return Step(
        state.withRequest(asking),
        listOfNotNull(
            sendTo(state.common, host, message),
            setAttemptTimer(record.id, state.common.timings.activeHeartbeat)
        )
    )
}

internal fun reduceActionKeyIssued(
    state: EntryState,
    message: PeerMessage.ActionKeyIssued
): Step<EntryState> {
    val record = state.requests[message.request]
    val awaited = record != null && record.spec.kind == null &&
        record.phase != RequestPhase.DELIVERING
    if (record == null || !awaited) return state.step()
    return state.withRequest(record.copy(phase = RequestPhase.DELIVERING)).step(
        CallerEffect.AnswerActionKey(record.id, message.key),
        RuntimeEffect.CancelTimer(TimerId.RequestDeadline(record.id)),
        RuntimeEffect.CancelTimer(TimerId.Attempt(record.id))
    )
}

private val RETRYABLE_REFUSALS = setOf(
    ErrorKind.OVERLOADED,
    ErrorKind.ENGINE_REFUSED,
    ErrorKind.LEASE_EXPIRED,
    ErrorKind.PLAIN_SERVICE_FAILED
)
