package org.gypsumroute.clients

import kotlin.time.Duration

/**
 * These timeouts for a long poll that is given up after [limit]. The server may wait longer for a
 * change, but a poll whose connection has died looks the same, so it must not delay a change by
 * more than that.
 */
internal fun HttpTimeouts.forLongPoll(limit: Duration): HttpTimeouts =
    copy(read = limit, call = limit)

/** Whether a poll was given up without an answer, which says nothing about changes. */
internal fun isUnanswered(failure: ClientFailure): Boolean =
    failure is ClientFailure.Broken && failure.timedOut

internal const val NO_CONTENT = 204
