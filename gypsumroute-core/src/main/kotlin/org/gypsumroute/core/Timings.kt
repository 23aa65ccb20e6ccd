package org.gypsumroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals and limits of the coordination protocol; all processes of a fleet use the same values.
 *
 * [activeHeartbeat] and [idleHeartbeat] are the heartbeat intervals to peers with and without
 * leases; after more than [missedHeartbeats] intervals of silence a connection is replaced.
 * [leaseTime] and [grantTime] are the lifetimes of a lease that is not renewed and of a grant that
 * is not dispatched. [resumeTime] is the wait for a silent peer before its work moves elsewhere.
 * [orderDwell] is the least time between two model orders to one engine, and [orderStagger] the
 * time between the model loads of a pool's endpoints. [documentReadAlone] is the interval of
 * document reads without a connected peer.
 */
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
