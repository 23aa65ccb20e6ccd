package org.gypsumroute.gateway

/** What a request names besides its headers; [target] is the path and query as they came. */
data class RequestLine(val method: String, val target: String)
