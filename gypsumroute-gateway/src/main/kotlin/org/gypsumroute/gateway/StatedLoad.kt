package org.gypsumroute.gateway

import org.gypsumroute.api.EndpointLoadReport

/** The load that a response states; [report] is null if the statement is malformed. */
data class StatedLoad(val report: EndpointLoadReport?)
