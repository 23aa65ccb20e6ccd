/*
 * Policies that decide whether and when to retry.
 */
package org.gypsumroute.core.requests

import kotlin.time.Duration
import org.gypsumroute.api.RetryRule
import org.gypsumroute.core.RetryPolicy
import org.gypsumroute.core.unitInterval

/** Retry functions for [Policies.retry]. */
object RetryPolicies {
    /**
     * Exponential backoff with jitter. Retries while the limit of attempts and the retry budget
     * allow it and the wait ends before the deadline.
     */
    val budgeted: RetryPolicy = { context ->
        backoff(context.rule, context.attempt, context.entropy).takeIf {
            context.attempt < context.rule.attempts &&
                context.availableRetries >= 1 && it < context.timeToDeadline
        }
    }
}

/** Doubles with each attempt up to the longest backoff; jitter shortens the wait by up to half. */
internal fun backoff(rule: RetryRule, attempt: Int, entropy: Long): Duration {
    val doubled = rule.firstBackoff * (1 shl (attempt - 1).coerceIn(0, MAX_DOUBLINGS))
    return minOf(doubled, rule.longestBackoff) * (1 + unitInterval(entropy)) / 2
}

private const val MAX_DOUBLINGS = 16
