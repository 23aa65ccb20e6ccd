package org.gypsumroute.clients

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Time limits of a client. [whole] limits a call from start to end; null sets no limit. */
data class HttpTimeouts(
    val connect: Duration = 1.seconds,
    val read: Duration = 10.seconds,
    val write: Duration = 10.seconds,
    val whole: Duration? = 10.seconds
)
