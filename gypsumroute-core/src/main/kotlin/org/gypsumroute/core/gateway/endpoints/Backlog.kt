package org.gypsumroute.core.gateway.endpoints

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Moment

/**
 * Estimated time that an engine still needs to read prompts, as of [asOf].
 *
 * An engine reads the parts of other engines' prompts that it helps with before anything else. Such
 * parts therefore wait for [helper] only, the helper parts that came before; the engine's own
 * prompts wait for the [total] and for helper parts that arrive afterwards. [helperShare] is the
 * recent share of time that went into helper parts.
 */
data class Backlog(
    val total: Duration = Duration.ZERO,
    val helper: Duration = Duration.ZERO,
    val helperShare: Double = 0.0,
    val asOf: Moment = Moment.START
) {
    /** The backlog at [now] if nothing was added since [asOf]. */
    fun advancedTo(now: Moment): Backlog {
        val elapsed = now - asOf
        return Backlog(
            (total - elapsed).coerceAtLeast(Duration.ZERO),
            (helper - elapsed).coerceAtLeast(Duration.ZERO),
            helperShare * exp(-(elapsed / HELPER_SHARE_TIME_CONSTANT)),
            now
        )
    }

    /** Adds reading time of the engine's own prompts and of parts that it reads as a helper. */
    fun plus(now: Moment, ownPrompts: Duration, helperParts: Duration): Backlog {
        val current = advancedTo(now)
        return Backlog(
            current.total + ownPrompts + helperParts,
            current.helper + helperParts,
            current.helperShare + helperParts / HELPER_SHARE_TIME_CONSTANT,
            now
        )
    }

    /** Limits the backlog to [pendingPrefill], the reading time of prompts not known to be read. */
    fun cappedAt(pendingPrefill: Duration): Backlog =
        copy(total = minOf(total, pendingPrefill), helper = minOf(helper, pendingPrefill))

    private companion object {
        /** Time constant of the exponential average [helperShare]. */
        val HELPER_SHARE_TIME_CONSTANT = 2.seconds
    }
}
