/*
 * What a platform's adapter knows of HTTP headers, as functions. The traffic code itself knows
 * only the headers of HTTP and of event streams.
 */
package org.gypsumroute.gateway

import kotlin.time.Duration
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.RequestHead

/** Reads the first value of a header, or null. */
typealias HeaderLookup = (String) -> String?

/** Reads and writes the headers of one platform. */
class ForwardCodec(
    /** Reads a caller's request. */
    val readHead: (RequestLine, HeaderLookup) -> RequestHead,
    /** Headers to set on an attempt that has this much time left. */
    val attemptHeaders: (ForwardTarget, Duration) -> List<HeaderField>,
    /** Lower-case names of callers' headers that no endpoint may see as they came. */
    val withheldHeaders: Set<String>,
    /** Reads an endpoint's answer. */
    val readResponse: (Int, HeaderLookup) -> ResponseHead
)
