package org.gypsumroute.gateway

import org.gypsumroute.api.EndpointAddress

/**
 * What a gateway decides on of an endpoint's answer. [callerId] is the request that it belongs to.
 * [signed] tells whether the endpoint vouches for a complete answer, [notRun] whether it says that
 * it did not run the request.
 */
data class ResponseHead(
    val callerId: String?,
    val signed: Boolean,
    val notRun: Boolean,
    val misdirected: Boolean,
    val faulty: EndpointAddress?
)
