package org.gypsumroute.core.gateway.endpoints

import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.UnixTime

/** One start of an endpoint, as its record names it. */
data class EndpointStart(val endpoint: EndpointId, val startedAt: UnixTime?)
