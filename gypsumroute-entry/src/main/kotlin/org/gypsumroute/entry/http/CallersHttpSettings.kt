package org.gypsumroute.entry.http

import kotlin.time.Duration

/** Limits of the callers' HTTP port. [largestBody] is in bytes; [bodyTime] applies when a
 * caller gives no timeout. */
internal data class CallersHttpSettings(
    val address: String,
    val port: Int,
    val largestBody: Long,
    val bodyTime: Duration,
    val openRequests: Int
)
