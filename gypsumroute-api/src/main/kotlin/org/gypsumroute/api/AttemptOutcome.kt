package org.gypsumroute.api

import kotlin.time.Duration

/** How an attempt to serve a request at an endpoint ended. */
sealed interface AttemptOutcome {
    /** The whole answer was relayed; [longestPause] is the longest time between two parts of it. */
    data class Completed(val status: Int, val longestPause: Duration) : AttemptOutcome

    /**
     * The endpoint ran the request and answered with a failure. The answer is kept, so that the
     * caller gets it if no other attempt succeeds.
     */
    data class Failed(val status: Int) : AttemptOutcome

    /**
     * The endpoint answered that it did not run the request. [misdirected] means that another
     * endpoint than the intended one listens at the address. [faultyAddress] is the address of the
     * endpoint at fault if that is not the one that answered, and null otherwise.
     */
    data class NotRun(
        val status: Int,
        val misdirected: Boolean,
        val faultyAddress: EndpointAddress? = null
    ) : AttemptOutcome

    /** No byte of the request was written to the endpoint. */
    data class NeverSent(val cause: String) : AttemptOutcome

    /**
     * The endpoint may have run the request; no part of an answer was relayed. [connectionLost]
     * tells whether the endpoint's side closed or reset the connection.
     */
    data class Lost(val cause: String, val connectionLost: Boolean = false) : AttemptOutcome

    /**
     * The answer broke off after a part of it was relayed. [connectionLost] tells whether the
     * endpoint's side closed or reset the connection.
     */
    data class Broken(val cause: String, val connectionLost: Boolean = false) : AttemptOutcome
}
