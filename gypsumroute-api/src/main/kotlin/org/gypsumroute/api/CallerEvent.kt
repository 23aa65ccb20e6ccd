package org.gypsumroute.api

import kotlin.time.Duration

/** Events that a front end reports about callers' requests. */
sealed interface CallerEvent : Event {
    /** Headers arrived; the front end waits for `AcceptBody` before it reads the body. */
    data class Opened(val request: RequestId, val keyDigest: String, val declaredBytes: Bytes) :
        CallerEvent

    /** The whole body of a generation request arrived and was understood. */
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

    /** The caller took the whole answer or error; the request's buffers are freed. */
    data class AnswerTaken(val request: RequestId) : CallerEvent
}
