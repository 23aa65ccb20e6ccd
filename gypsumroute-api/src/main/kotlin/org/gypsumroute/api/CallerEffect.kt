package org.gypsumroute.api

/** Effects on callers' requests, carried out by the front end. */
sealed interface CallerEffect : Effect {
    /** Lets the front end read the request's body. */
    data class AcceptBody(val request: RequestId) : CallerEffect

    /** Ends the request with an error, or ends its stream with one if a stream has begun. */
    data class Fail(val request: RequestId, val failure: Failure) : CallerEffect

    /** Answers a request for an action key with the issued [key]. */
    data class AnswerActionKey(val request: RequestId, val key: ActionKey) : CallerEffect

    /**
     * Sends the request's body on [connection] as data frames of [lease]. When the request
     * continues on another endpoint, the text delivered so far follows the body. With a [segment],
     * only that part of the body is sent.
     */
    data class Upload(
        val request: RequestId,
        val lease: LeaseId,
        val connection: ConnectionId,
        val segment: GroupSegment?
    ) : CallerEffect

    /**
     * Relays the answer of [lease] as the answer of [request] and ignores earlier leases. An answer
     * that continues on another endpoint ends at [outputLimit], which also counts the tokens
     * delivered before.
     */
    data class ReadAnswer(
        val request: RequestId,
        val lease: LeaseId,
        val outputLimit: Tokens? = null
    ) : CallerEffect

    /** Asks for the missing chunks of the answer again, on a new [connection]. */
    data class ResumeAnswer(
        val request: RequestId,
        val lease: LeaseId,
        val connection: ConnectionId
    ) : CallerEffect

    /**
     * The reducer keeps nothing of the request any more. The front end frees its buffers itself
     * once the caller took the answer or left, and does nothing here.
     */
    data class Forget(val request: RequestId) : CallerEffect
}
