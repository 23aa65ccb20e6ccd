/*
 * When callers that were refused under shortage may come back.
 */
package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.attempts.RETRY_AFTER
import org.gypsumroute.core.stableHash
import org.gypsumroute.core.unitInterval

/**
 * Time until the backlog of the request's service is expected to be done, or null while the service
 * is not short. It differs at random between requests, so that callers that are refused together do
 * not come back together.
 */
internal fun shortageRetryAfter(state: GatewayState, record: ForwardRecord): Duration? {
    val room = knownRoom(state, record.service)?.takeIf { it.isShort } ?: return null
    val backlog = backlogTime(state, record.service, room)
    return spreadRetryAfter(backlog, state.common.entropy xor stableHash(record.request.value))
}

/** A time within half to one and a half of [backlog], which is limited first. */
internal fun spreadRetryAfter(backlog: Duration, entropy: Long): Duration =
    backlog.coerceIn(RETRY_AFTER, MAX_RETRY_AFTER) * (MIN_SPREAD + unitInterval(entropy))

/** Callers wait at most a third of their remaining time. */
private val MAX_RETRY_AFTER: Duration = 5.seconds
private const val MIN_SPREAD = 0.5
