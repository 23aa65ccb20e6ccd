package org.gypsumroute.entry.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits of the callers' HTTP port. [bodyTime] applies when a caller gives no timeout. */
internal data class CallersHttpSettings(
    val address: String,
    val port: Int,
    val largestBody: Long = 16L * 1024 * 1024,
    val bodyTime: Duration = 60.seconds,
    val openRequests: Int = 4096
)
