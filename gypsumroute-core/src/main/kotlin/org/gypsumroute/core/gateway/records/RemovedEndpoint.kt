package org.gypsumroute.core.gateway.records

import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.Moment

/** An endpoint whose last [record] was removed at the time [removedAt]. */
data class RemovedEndpoint(val record: EndpointRecord, val removedAt: Moment)
