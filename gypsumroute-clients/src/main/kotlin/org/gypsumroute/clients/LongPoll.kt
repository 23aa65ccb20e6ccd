package org.gypsumroute.clients

import kotlin.time.Duration.Companion.seconds

/** A poll is answered after 30 s at the latest; what takes longer is a dead connection. */
internal fun HttpTimeouts.forLongPoll(): HttpTimeouts =
    copy(read = LONGEST_POLL + read, whole = whole?.let { LONGEST_POLL + it })

internal const val NO_CONTENT = 204

private val LONGEST_POLL = 30.seconds
