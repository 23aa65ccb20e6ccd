/*
 * Shares of organisations in the engines of a service under shortage.
 *
 * Each gateway counts the engine time that organisations ask for and are admitted for. While a
 * service is short of capacity, gateways report the largest users to each other, and each works out
 * the max-min fair share from all recent reports. An organisation without a key stands for all
 * callers without one.
 */
package org.gypsumroute.core.gateway.shares

import kotlin.time.Duration
import org.gypsumroute.api.EngineUse
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.crashes.digestOf

/**
 * By how much the request's organisation exceeds its fair share of the service, as a multiple of
 * the share. It is 0 within the share, without shortage, and without organisations in the table.
 */
internal fun organisationExcess(state: GatewayState, record: ForwardRecord): Double {
    if (state.published.table?.organisations == null) return 0.0
    val shares = state.shares.services[record.service] ?: return 0.0
    return shares.excessOf(digestOf(record.organisation), state.common.now)
}

/** The state of shares after the arrival of a request. */
internal fun sharesAfterArrival(state: GatewayState, record: ForwardRecord): SharesState =
    sharesWithUse(state, record) { EngineUse(asked = it) }

/** The state of shares after a request was sent to an endpoint. */
internal fun sharesAfterSend(state: GatewayState, record: ForwardRecord): SharesState =
    sharesWithUse(state, record) { EngineUse(admitted = it) }

private inline fun sharesWithUse(
    state: GatewayState,
    record: ForwardRecord,
    useOf: (Duration) -> EngineUse
): SharesState {
    val table = state.published.table
    val profile = table?.services?.get(record.service)?.engine
    if (table?.organisations == null || profile == null) return state.shares
    val now = state.common.now
    // No engine works on a request after its deadline, whatever size the caller stated.
    val time = engineTimeOf(record.size, profile)
        .coerceAtMost(record.deadline - now)
        .coerceAtLeast(Duration.ZERO)
    return state.shares.plusUse(record.service, record.organisation, useOf(time), now)
}
