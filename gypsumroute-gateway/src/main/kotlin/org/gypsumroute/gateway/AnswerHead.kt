package org.gypsumroute.gateway

import org.gypsumroute.api.EndpointAddress

/**
 * What a gateway decides on of an endpoint's answer. [callerRequestId] is the request that it belongs to.
 * [signed] tells whether the endpoint vouches for a complete answer, [notRun] whether it says that
 * it did not run the request.
 */
data class AnswerHead(
    val callerRequestId: String?,
    val signed: Boolean,
    val notRun: Boolean,
    val misdirected: Boolean,
    val faultyAddress: EndpointAddress?
)
