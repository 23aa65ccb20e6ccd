package org.gypsumroute.api

/** Effects on requests that a gateway forwards. */
sealed interface ForwardEffect : Effect {
    /**
     * Starts an attempt; its end is reported by `AttemptEnded`. If another attempt of the request
     * is open, the first of them that delivers a part of the answer stops the other.
     */
    data class Send(val request: RequestId, val attempt: AttemptId, val target: ForwardTarget) :
        ForwardEffect

    /** Relays the endpoint's failure answer that was kept for the request. */
    data class RelayFailure(val request: RequestId) : ForwardEffect

    /** Answers the request with an error of the gateway itself. */
    data class Refuse(val request: RequestId, val failure: Failure) : ForwardEffect

    /**
     * Breaks off an answer that has begun, in a way that shows the caller that it is incomplete.
     */
    data class Cut(val request: RequestId) : ForwardEffect

    /** Stops an attempt; its end is not reported. */
    data class Abandon(val request: RequestId, val attempt: AttemptId) : ForwardEffect

    /** Closes idle connections to an endpoint that was removed. */
    data class CloseConnections(val address: EndpointAddress) : ForwardEffect

    /** Sets the limits for callers from now on. */
    data class SetCallerLimits(val limits: CallerLimits) : ForwardEffect

    /** Closes the connections of callers that have no request open, while the process drains. */
    data object CloseIdleCallers : ForwardEffect
}
