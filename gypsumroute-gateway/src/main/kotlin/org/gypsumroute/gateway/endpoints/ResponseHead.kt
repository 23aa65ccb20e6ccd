package org.gypsumroute.gateway.endpoints

import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointStatement

/**
 * The parts of a response head that decide what the gateway does with the response.
 *
 * [callerRequestId] is the caller's id of the request that the response belongs to, or null if it
 * names none. [signed] is true if the endpoint marks the response as a complete one, [notRun] if it
 * states that it did not run the request, and [misdirected] if the request was meant for another
 * endpoint. [faultyAddress] is the address of the endpoint that caused a failure, if that is not
 * the responding one. [statements] are what the endpoint states of itself.
 */
data class ResponseHead(
    val callerRequestId: String?,
    val signed: Boolean,
    val notRun: Boolean,
    val misdirected: Boolean,
    val faultyAddress: EndpointAddress?,
    val statements: List<EndpointStatement> = emptyList()
)
