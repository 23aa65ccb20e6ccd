package org.gypsumroute.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Bytes
import org.gypsumroute.process.NodeSettings

/**
 * Settings of an entry. [bodyTime] limits an upload when the caller gives no timeout, and
 * [bufferedBytes] the bodies and answers held for all callers.
 */
data class EntrySettings(
    val node: NodeSettings,
    val callersAddress: String,
    val callersPort: Int,
    val operatorsAddress: String,
    val operatorsPort: Int,
    val largestBody: Bytes = Bytes(16L * 1024 * 1024),
    val bodyTime: Duration = 60.seconds,
    val openRequests: Int = 4096,
    val bufferedBytes: Bytes = Bytes(256L * 1024 * 1024)
)
