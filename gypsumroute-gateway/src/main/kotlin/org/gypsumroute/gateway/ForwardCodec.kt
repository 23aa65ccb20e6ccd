/*
 * Functions of a platform's adapter that read and write its HTTP headers. The traffic code itself
 * knows only the standard headers of HTTP and of event streams.
 */
package org.gypsumroute.gateway

import kotlin.time.Duration
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.RequestHead

/** Returns the first value of the header with a name, or null if it is absent. */
typealias HeaderLookup = (String) -> String?

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
