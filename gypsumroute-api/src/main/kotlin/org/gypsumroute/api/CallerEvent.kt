package org.gypsumroute.api

import kotlin.time.Duration

/** Events that a front end reports about callers' requests. */
sealed interface CallerEvent : Event {
    /**
     * The headers of a request arrived. The front end waits for `AcceptBody` before it reads the
     * body. [keyDigest] is empty without a bearer key, and [declaredBytes] is the length of the
     * body as the headers state it, 0 if they don't.
     */
    data class Opened(val request: RequestId, val keyDigest: String, val declaredBytes: Bytes) :
        CallerEvent

    /** The whole body of a generation request arrived and was parsed. */
    data class GenerationArrived(
        val request: RequestId,
        val service: ServiceId,
        val keyDigest: String,
        val promptTokens: Tokens,
        val bodyBytes: Bytes,
        val outputLimit: Tokens?,
        val timeout: Duration?,
        val prefix: PrefixDigest
    ) : CallerEvent

    /** The whole body of a call to a plain service arrived. */
    data class CallArrived(
        val request: RequestId,
        val service: ServiceId,
        val keyDigest: String,
        val path: String,
        val bodyBytes: Bytes,
        val timeout: Duration?,
        val actionKey: ActionKey?
    ) : CallerEvent

    /** A caller asks for an action key. */
    data class ActionKeyWanted(
        val request: RequestId,
        val service: ServiceId,
        val keyDigest: String,
        val timeout: Duration?
    ) : CallerEvent

    /** The front end refused a request itself, for example for malformed JSON. */
    data class Rejected(val request: RequestId, val kind: ErrorKind) : CallerEvent

    /** The caller's connection closed before the answer was complete. */
    data class Left(val request: RequestId) : CallerEvent

    /**
     * The whole answer or error was written to the caller, or the front end refused the request
     * itself and is about to tell the caller; its buffers are no longer needed.
     */
    data class AnswerTaken(val request: RequestId) : CallerEvent
}
