package org.gypsumroute.core.gateway

import org.gypsumroute.api.Moment
import org.gypsumroute.api.UnixTime

/** The start [startedAt] of an endpoint wants nothing from this gateway until [until]. */
data class EndpointPause(val startedAt: UnixTime?, val until: Moment)
