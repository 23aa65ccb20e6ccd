/*
 * The rate at which each gateway may send to a cold endpoint.
 *
 * The limit applies to all gateways together. An equal share of it would be less than one request a
 * second for many gateways, and nothing would keep them from sending theirs in the same second.
 * Therefore only so many gateways use a cold endpoint that each may send once a second or more. All
 * gateways choose the same ones by rendezvous hashing.
 */
package org.gypsumroute.core.gateway.endpoints

import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.send
import org.gypsumroute.core.gateway.exchange.mayKnowAllMembers
import org.gypsumroute.core.rendezvousWeight

/** Requests per second that this gateway may send to a cold endpoint; 0 if others use it. */
internal fun coldShare(state: GatewayState, endpoint: EndpointId, rate: Double): Double {
    if (!mayKnowAllMembers(state)) return 0.0
    val others = state.exchange.members.keys
    return coldShareAmong(state.exchange.ownAddress, others, endpoint, rate)
}

/** The share of [own] in the [rate] of a cold endpoint among the gateways [own] and [others]. */
internal fun coldShareAmong(
    own: EndpointAddress,
    others: Collection<EndpointAddress>,
    endpoint: EndpointId,
    rate: Double
): Double {
    if (others.isEmpty()) return rate
    val usedRate = rate * USED_RATE_SHARE
    val users = usedRate.toInt().coerceIn(1, others.size + 1)
    val ownWeight = rendezvousWeight(endpoint.value, own.toString())
    val ahead = others.count { rendezvousWeight(endpoint.value, it.toString()) > ownWeight }
    return if (ahead < users) usedRate / users else 0.0
}

/** The rest of the rate covers gateways that differ in which others they know. */
private const val USED_RATE_SHARE = 0.9
