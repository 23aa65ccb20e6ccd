package org.gypsumroute.clients

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Time limits of an HTTP client. [read] and [write] limit each read from and write to the socket;
 * [call] limits a call from start to end, where null sets no limit.
 */
data class HttpTimeouts(
    val connect: Duration = 1.seconds,
    val read: Duration = 10.seconds,
    val write: Duration = 10.seconds,
    val call: Duration? = 10.seconds
)
