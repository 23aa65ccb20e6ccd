package org.gypsumroute.core.gateway

import org.gypsumroute.api.Moment
import org.gypsumroute.api.UnixTime

/**
 * The start [startedAt] of an endpoint stated at [statedAt] that it leaves, to this gateway if
 * [own], else to another one.
 */
data class LeavingMark(val startedAt: UnixTime?, val statedAt: Moment, val own: Boolean)
