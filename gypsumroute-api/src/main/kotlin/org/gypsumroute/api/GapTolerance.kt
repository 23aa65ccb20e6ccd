package org.gypsumroute.api

import kotlin.time.Duration

/** Streams worth [value] bear pauses up to [gap]. */
data class GapTolerance(val gap: Duration, val value: Double)
