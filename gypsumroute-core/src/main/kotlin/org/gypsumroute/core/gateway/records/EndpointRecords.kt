/*
 * The records of endpoints: endpoints publish, change and remove them, and they lapse if they are
 * not renewed.
 */
package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.endpoints.EndpointState
import org.gypsumroute.core.gateway.endpoints.contradictsLeaving
import org.gypsumroute.core.gateway.endpoints.isLeaving
import org.gypsumroute.core.gateway.endpoints.withPublishedLeaving
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step
import org.gypsumroute.core.thenEach

/** Takes over the record that an endpoint published of itself. */
internal fun putEndpoint(state: GatewayState, record: EndpointRecord): Step<GatewayState> {
    val previous = state.endpoints[record.id]
    val restarted = previous != null && previous.record.startedAt != record.startedAt
    val coldUntil = state.common.now + record.coldRemaining
    val next = if (previous == null || restarted) {
        EndpointState(record, coldUntil)
    } else {
        previous.copy(record = record, coldUntil = coldUntil, misdirected = false)
    }
    val event = when {
        contradictsLeaving(state, record) -> LogEvent.RECORD_OUTDATED
        previous == null -> LogEvent.ENDPOINT_ADDED
        restarted -> LogEvent.ENDPOINT_REBORN
        record.leaving && !previous.record.leaving -> LogEvent.ENDPOINT_LEAVING
        else -> null
    }
    val published = state.published.copy(
        lapsedEndpoints = state.published.lapsedEndpoints.remove(record.id),
        removedEndpoints = state.published.removedEndpoints.remove(record.id)
    )
    val changed = withPublishedLeaving(
        state.copy(endpoints = state.endpoints.put(record.id, next), published = published),
        record
    )
    return if (event == null) changed.step() else changed.step(endpointLog(event, record))
}

/**
 * Removes an endpoint. Around an outage of the store, records of live endpoints lapse too until
 * those endpoints register again, so lapsed endpoints are retained until the time for that is over.
 */
internal fun removeEndpoint(state: GatewayState, id: EndpointId): Step<GatewayState> {
    val endpoint = state.endpoints[id] ?: return withRemovedAgain(state, id).step()
    val published = state.published
    return if (state.common.now < published.lapsedRetainedUntil && !isLeaving(state, endpoint)) {
        val lapsed = published.lapsedEndpoints.add(id)
        state.copy(published = published.copy(lapsedEndpoints = lapsed)).step(
            logEffect(
                LogEvent.ENDPOINT_RETAINED,
                "endpoint" to id,
                "for" to (published.lapsedRetainedUntil - state.common.now)
            )
        )
    } else {
        state.copy(
            endpoints = state.endpoints.remove(id),
            published = published.copy(
                lapsedEndpoints = published.lapsedEndpoints.remove(id),
                removedEndpoints = withRemoved(state, endpoint.record)
            )
        ).step(
            endpointLog(LogEvent.ENDPOINT_REMOVED, endpoint.record),
            ForwardEffect.CloseConnections(endpoint.record.address)
        )
    }
}

/** Ends the time in which lapsed endpoints are retained, and removes those still lapsed. */
internal fun removeLapsedEndpoints(state: GatewayState): Step<GatewayState> {
    val published = state.published
    val next = state.copy(published = published.copy(lapsedRetainedUntil = state.common.now))
    return next.step()
        .thenEach(published.lapsedEndpoints) { current, id -> removeEndpoint(current, id) }
}

/** After an outage in which records can have lapsed, lets their endpoints register again. */
internal fun retainLapsed(state: GatewayState): Step<GatewayState> {
    val wait = state.bounds.endpointGracePeriod
    val retainedUntil = state.common.now + wait
    return state.copy(published = state.published.copy(lapsedRetainedUntil = retainedUntil))
        .step(RuntimeEffect.SetTimer(TimerId.EndpointReturn, wait))
}

internal fun endpointLog(event: LogEvent, record: EndpointRecord) = logEffect(
    event,
    "endpoint" to record.id,
    "service" to record.service,
    "address" to record.address,
    "endpoint_start" to record.startedAt?.milliseconds,
    "endpoint_data_centre" to record.dataCentre,
    "cold_for" to record.coldRemaining
)
