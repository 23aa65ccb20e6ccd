package org.gypsumroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Intervals and limits of the coordination protocol; one fleet uses one set. */
data class Timings(
    val activeHeartbeat: Duration = 1.seconds,
    val idleHeartbeat: Duration = 5.seconds,
    val missedHeartbeats: Int = 3,
    val leaseTime: Duration = 10.seconds,
    val grantTime: Duration = 5.seconds,
    val resumeTime: Duration = 5.seconds,
    val engineCheck: Duration = 2.seconds,
    val pauseThreshold: Duration = 1.seconds,
    val startupWait: Duration = 3.seconds,
    val documentBackoff: Duration = 2.seconds,
    val documentReadAlone: Duration = 10.seconds,
    val hostListBackoff: Duration = 2.seconds,
    val connectBackoff: Duration = 500.milliseconds,
    val longestConnectBackoff: Duration = 10.seconds,
    val orderDwell: Duration = 5.minutes,
    val orderStagger: Duration = 10.seconds,
    val documentWatchers: Int = 3,
    val connectedEndpoints: Int = 64
)
