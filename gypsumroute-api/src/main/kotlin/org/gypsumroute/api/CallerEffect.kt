package org.gypsumroute.api

/** Effects on callers' requests, carried out by the front end. */
sealed interface CallerEffect : Effect {
    /** Lets the front end read the request's body. */
    data class AcceptBody(val request: RequestId) : CallerEffect

    /** Ends the request with an error, in the middle of a stream if one has begun. */
    data class Fail(val request: RequestId, val failure: Failure) : CallerEffect

    /** Answers a request for an action key. */
    data class AnswerActionKey(val request: RequestId, val key: ActionKey) : CallerEffect

    /**
     * Sends the request's body on [connection] as data frames of [lease], after the text
     * delivered so far when the request continues on another endpoint. A [segment] limits it.
     */
    data class Upload(
        val request: RequestId,
        val lease: LeaseId,
        val connection: ConnectionId,
        val segment: GroupSegment?
    ) : CallerEffect

    /**
     * Takes the answer of [lease] as the answer of [request]; earlier leases are ignored. An
     * answer that continues on another endpoint ends at [outputLimit], which counts all of it.
     */
    data class ReadAnswer(
        val request: RequestId,
        val lease: LeaseId,
        val outputLimit: Tokens? = null
    ) : CallerEffect

    /** Asks for the answer's missing chunks again on a fresh connection. */
    data class ResumeAnswer(
        val request: RequestId,
        val lease: LeaseId,
        val connection: ConnectionId
    ) : CallerEffect

    /** Frees body and answer buffers of a finished request. */
    data class Forget(val request: RequestId) : CallerEffect
}
