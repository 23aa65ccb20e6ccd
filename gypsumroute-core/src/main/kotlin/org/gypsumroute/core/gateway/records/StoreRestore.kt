/*
 * The time after the store came back from an older copy.
 *
 * The copy lacks what operators and endpoints wrote last, until they write it again: an endpoint is
 * listed as ready although it left, or not at all although it lives, and a data centre as in
 * service although it was taken out. Until then, what was known before stays in force, except where
 * the store has something newer.
 */
package org.gypsumroute.core.gateway.records

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.endpoints.isBefore
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/** Whether the store is known to have come back from an older copy a short time ago. */
internal val GatewayState.isRestoring: Boolean get() = common.now < published.restoreEndsAt

/** Begins the time of a restore if the store went back from the records in force to [position]. */
internal fun beginRestoreIfBack(state: GatewayState, position: StorePosition): Step<GatewayState> {
    val held = state.published.position
    val wentBack = position.era > held.era || position < held
    if (held == StorePosition.NONE || !wentBack) return state.step()
    val time = restoreTime(state)
    val published = state.published.copy(restoreEndsAt = state.common.now + time)
    return state.copy(published = published).step(
        logEffect(
            LogEvent.RESTORE_STARTED,
            "before" to held.revision,
            "after" to position.revision,
            "era" to position.era,
            "for" to time
        ),
        RuntimeEffect.SetTimer(TimerId.RestoreEnd, time)
    ).then { retainLapsed(it) }
}

/** Whether a record of a full read is that of an endpoint of which something newer is known. */
internal fun isOlderThanKnown(state: GatewayState, listed: PublishedRecord): Boolean =
    state.isRestoring && listed is PublishedRecord.Endpoint &&
        isOlderThanKnown(state, listed.record)

/** Passes over the record of an endpoint. One that is known stays, and has not lapsed. */
internal fun skipOlder(state: GatewayState, listed: EndpointRecord): Step<GatewayState> {
    val published = state.published
    val next = state.copy(
        published = published.copy(lapsedEndpoints = published.lapsedEndpoints.remove(listed.id))
    )
    return if (isLeavingOrGone(state, listed)) {
        next.step(endpointLog(LogEvent.RECORD_OUTDATED, listed))
    } else {
        next.step()
    }
}

/** The sequence of a removed record says nothing of its removal, so only a later start counts. */
private fun isOlderThanKnown(state: GatewayState, listed: EndpointRecord): Boolean {
    val known = state.endpoints[listed.id]?.record
    val removed = state.published.removedEndpoints[listed.id]?.record
    return when {
        known != null -> !isNewer(listed, known)
        removed != null -> !removed.startedAt.isBefore(listed.startedAt)
        else -> false
    }
}

/** A start that says that it leaves does not unsay it, so that counts in any order. */
private fun isNewer(listed: EndpointRecord, known: EndpointRecord): Boolean {
    if (known.startedAt != listed.startedAt) return known.startedAt.isBefore(listed.startedAt)
    return known.sequence < listed.sequence || (listed.leaving && !known.leaving)
}

/** Whether the record names an endpoint to use that is known to leave or to be gone. */
private fun isLeavingOrGone(state: GatewayState, listed: EndpointRecord): Boolean =
    !listed.leaving && state.endpoints[listed.id]?.record?.leaving != false

/** Takes the store's records for complete from now on, and reads all of them again. */
internal fun endRestore(state: GatewayState): Step<GatewayState> {
    val published = state.published.copy(restoreEndsAt = state.common.now)
    return requireFullRead(state.copy(published = published))
        .step(logEffect(LogEvent.RESTORE_ENDED, "revision" to published.position.revision))
        .then { if (it.published.storeReachable) startRead(it) else it.step() }
}

/** Remembers the removal of an endpoint for as long as a copy of the store may list it. */
internal fun withRemoved(
    state: GatewayState,
    record: EndpointRecord
): PersistentMap<EndpointId, RemovedEndpoint> {
    val removed = RemovedEndpoint(record, state.common.now)
    return state.published.removedEndpoints.put(record.id, removed)
}

/** Forgets the endpoints that were removed so long ago that no copy of the store lists them. */
internal fun withoutOldRemovals(state: GatewayState): GatewayState {
    val removed = state.published.removedEndpoints
    val old = removed.filterValues { state.common.now - it.removedAt > REMOVAL_RETENTION }.keys
    if (old.isEmpty()) return state
    val left = removed.builder().apply { old.forEach { remove(it) } }.build()
    return state.copy(published = state.published.copy(removedEndpoints = left))
}

/** Remembers an endpoint for longer whose record is removed once more. */
internal fun withRemovedAgain(state: GatewayState, id: EndpointId): GatewayState {
    val known = state.published.removedEndpoints[id] ?: return state
    val removed = state.published.removedEndpoints.put(id, known.copy(removedAt = state.common.now))
    return state.copy(published = state.published.copy(removedEndpoints = removed))
}

/**
 * Endpoints have written themselves again by the end of the grace period, and the records of those
 * that are gone have lapsed some heartbeats after the store came back.
 */
private fun restoreTime(state: GatewayState): Duration =
    state.bounds.endpointGracePeriod + state.bounds.endpointLapseTime * 2

/** A copy is some seconds old when the store goes away, and the store is away for a moment. */
private val REMOVAL_RETENTION: Duration = 2.minutes
