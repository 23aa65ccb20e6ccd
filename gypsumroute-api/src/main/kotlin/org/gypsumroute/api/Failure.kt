package org.gypsumroute.api

import kotlin.time.Duration

/**
 * An error as a caller or peer receives it.
 *
 * [runState] may be more specific than the default of [kind]. [retryAfter] is null if the advice is
 * not to retry or if there is no estimate.
 */
data class Failure(
    val kind: ErrorKind,
    val detail: String,
    val runState: RunState = kind.runState,
    val retryAfter: Duration? = null
)
