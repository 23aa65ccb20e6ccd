package org.gypsumroute.clients

import kotlin.time.Duration.Companion.seconds

/**
 * These timeouts with the longest poll added to the limits for reads and whole calls. The server
 * ends a poll after 30 s at the latest, so a call that takes longer has lost its connection.
 */
internal fun HttpTimeouts.forLongPoll(): HttpTimeouts =
    copy(read = MAX_POLL_DURATION + read, call = call?.let { MAX_POLL_DURATION + it })

internal const val NO_CONTENT = 204

private val MAX_POLL_DURATION = 30.seconds
