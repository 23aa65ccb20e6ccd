package org.gypsumroute.gateway.callers

/**
 * Method and target of a request. [target] is the text that the caller sent: path and query, or an
 * absolute URL if the caller uses the gateway as a proxy.
 */
data class RequestLine(val method: String, val target: String)
