/*
 * Caution of a gateway that started after a series of restarts of endpoints.
 *
 * What gateways know of crashing prompts ends with their processes. If all of them end at one time,
 * the starts of the endpoints are all that tells of the crashes before. A gateway that finds such a
 * series holds a single loss against the parts of its prompt, unless these were in a complete
 * answer since the gateway started.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import org.gypsumroute.api.Moment
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.endpoints.EndpointState

/**
 * Caution that ends at [until]. [promptsServed] counts complete answers since the start, up to
 * [ENOUGH_OTHERS_SERVED].
 */
data class CrashCaution(val until: Moment, val promptsServed: Int = 0) {
    /** Counts another complete answer. */
    fun withServed(): CrashCaution =
        copy(promptsServed = (promptsServed + 1).coerceAtMost(ENOUGH_OTHERS_SERVED))
}

/**
 * The caution of a gateway that starts at [now], or null if the endpoints did not restart one after
 * the other within some time before [startedAt].
 */
internal fun cautionAfterRestarts(
    endpoints: Collection<EndpointState>,
    startedAt: UnixTime,
    now: Moment
): CrashCaution? {
    val starts = endpoints.mapNotNull { it.record.startedAt?.milliseconds }.sorted()
    val isSeries = countSuccessive(starts, startedAt) >= MIN_RESTARTS
    return if (isSeries) CrashCaution(now + CAUTION_TIME) else null
}

/** Counts recent starts that came after another one; those at about the same time count once. */
private fun countSuccessive(starts: List<Long>, startedAt: UnixTime): Int {
    val earliest = startedAt.milliseconds - SERIES_TIME.inWholeMilliseconds
    var count = 0
    var last = starts.firstOrNull() ?: return 0
    for (start in starts) {
        if (start - last < MIN_SPACING.inWholeMilliseconds) continue
        last = start
        if (start >= earliest) count++
    }
    return count
}

private const val MIN_RESTARTS = 2

/** Endpoints that crash under one prompt after the other restart at least this far apart. */
private val MIN_SPACING: Duration = 500.milliseconds

/** Restarts that are longer ago do not matter. */
private val SERIES_TIME: Duration = 10.minutes
private val CAUTION_TIME: Duration = 10.minutes
