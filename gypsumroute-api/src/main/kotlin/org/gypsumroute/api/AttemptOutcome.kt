package org.gypsumroute.api

import kotlin.time.Duration

/** How an attempt to serve a request at an endpoint ended. */
sealed interface AttemptOutcome {
    /** The whole answer was passed on; [longestPause] was the longest between parts of it. */
    data class Completed(val status: Int, val longestPause: Duration) : AttemptOutcome

    /** The endpoint ran the request and answered with a failure, which is held for the caller. */
    data class Failed(val status: Int) : AttemptOutcome

    /**
     * The endpoint said that it did not run the request. [misdirected] means that the address
     * belongs to another endpoint now. [faultyAddress] names the endpoint at fault if it is another one.
     */
    data class NotRun(
        val status: Int,
        val misdirected: Boolean,
        val faultyAddress: EndpointAddress? = null
    ) : AttemptOutcome

    /** No byte of the request was written. */
    data class NeverSent(val cause: String) : AttemptOutcome

    /** The request may have run; nothing of an answer was passed on. */
    data class Lost(val cause: String) : AttemptOutcome

    /** A part of the answer was passed on. */
    data class Broken(val cause: String) : AttemptOutcome
}
