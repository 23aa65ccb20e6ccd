package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Streams of a total [value] tolerate a time of up to [gap] between two events. The value has the
 * unit in which placement compares requests, where a plain call is worth 1.
 */
data class GapTolerance(val gap: Duration, val value: Double)
