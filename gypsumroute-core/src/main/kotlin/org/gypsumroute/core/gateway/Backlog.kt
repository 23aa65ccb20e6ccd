package org.gypsumroute.core.gateway

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Moment

/**
 * What an engine still has to read, as of [at].
 *
 * An engine reads parts for other engines' requests before all else, so those wait for [help] only,
 * and its own prompts for the [total] and for parts that come later. [helpShare] is the share of
 * time that such parts took lately.
 */
data class Backlog(
    val total: Duration = Duration.ZERO,
    val help: Duration = Duration.ZERO,
    val helpShare: Double = 0.0,
    val at: Moment = Moment.START
) {
    /** The same at a later time, if nothing was added. */
    fun later(now: Moment): Backlog {
        val elapsed = now - at
        return Backlog(
            (total - elapsed).coerceAtLeast(Duration.ZERO),
            (help - elapsed).coerceAtLeast(Duration.ZERO),
            helpShare * exp(-(elapsed / MEMORY)),
            now
        )
    }

    /** Adds prompts of the engine's own requests and parts of others. */
    fun plus(now: Moment, read: Duration, help: Duration): Backlog {
        val current = later(now)
        return Backlog(
            current.total + read + help,
            current.help + help,
            current.helpShare + help / MEMORY,
            now
        )
    }

    /** At most what is known to be [pendingPrefill]. */
    fun within(pendingPrefill: Duration): Backlog =
        copy(total = minOf(total, pendingPrefill), help = minOf(help, pendingPrefill))

    private companion object {
        /** Time over which parts for others are averaged. */
        val MEMORY = 2.seconds
    }
}
