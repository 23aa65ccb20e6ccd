package org.gypsumroute.api

/** Effects on requests that a gateway forwards. */
sealed interface ForwardEffect : Effect {
    /** Starts an attempt; answered by `AttemptEnded`. */
    data class Send(val request: RequestId, val attempt: AttemptId, val target: ForwardTarget) :
        ForwardEffect

    /** Passes on the failure answer that is held for the request. */
    data class RelayFailure(val request: RequestId) : ForwardEffect

    /** Answers the request with an error of the gateway's own. */
    data class Refuse(val request: RequestId, val failure: Failure) : ForwardEffect

    /** Ends an answer that has begun so that the caller sees it as incomplete. */
    data class Cut(val request: RequestId) : ForwardEffect

    /** Stops an attempt; not answered. */
    data class Abandon(val request: RequestId, val attempt: AttemptId) : ForwardEffect

    /** Closes idle connections to an endpoint that is gone. */
    data class CloseConnections(val address: EndpointAddress) : ForwardEffect

    /** Sets what callers may send from now on. */
    data class SetCallerLimits(val limits: CallerLimits) : ForwardEffect

    /** Stops taking connections, and closes idle ones; sent when the process drains. */
    data object StopAccepting : ForwardEffect
}
