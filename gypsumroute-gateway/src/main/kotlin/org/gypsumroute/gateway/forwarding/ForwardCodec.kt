/*
 * Functions of a platform's adapter that read and write its HTTP headers. The traffic code itself
 * knows only the standard headers of HTTP and of event streams.
 */
package org.gypsumroute.gateway.forwarding

import kotlin.time.Duration
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.RequestHead
import org.gypsumroute.gateway.callers.RequestLine
import org.gypsumroute.gateway.endpoints.ResponseHead

/** Returns the values of all header fields with a name, in order. */
typealias HeaderLookup = (String) -> List<String>

/** Returns the first value of the header with a name, or null if it is absent. */
fun HeaderLookup.first(name: String): String? = this(name).firstOrNull()

/** Returns the elements of a header that is a list, which may be spread over several fields. */
fun HeaderLookup.elements(name: String): List<String> = this(name).flatMap { it.split(',') }

/** Header codec of one platform. */
class ForwardCodec(
    /** Reads the head of a caller's request. */
    val readHead: (RequestLine, HeaderLookup) -> RequestHead,
    /** Returns the headers to set on an attempt with the given remaining time. */
    val attemptHeaders: (ForwardTarget, Duration) -> List<HeaderField>,
    /** Lower-case names of callers' headers that are not forwarded to endpoints. */
    val withheldHeaders: Set<String>,
    /** Reads the head of an endpoint's response, given its status. */
    val readResponse: (Int, HeaderLookup) -> ResponseHead
)
