package org.gypsumroute.core

/**
 * How warm the endpoint is. [share] is the share of its capacity on offer (0 to 1), null before
 * the first completion, and [completions] counts those at this share.
 */
data class Warmth(val share: Double? = null, val completions: Int = 0)
