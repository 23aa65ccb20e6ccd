package org.gypsumroute.api

/** Events of requests that a gateway forwards. Bodies and stream events stay outside. */
sealed interface ForwardEvent : Event {
    /** A whole request arrived. */
    data class Arrived(val request: RequestId, val head: RequestHead, val bodyBytes: Bytes) :
        ForwardEvent

    /** A request was refused before it had arrived whole. */
    data class Rejected(val failure: Failure) : ForwardEvent

    /** The caller closed its connection before the answer was complete. */
    data class CallerLeft(val request: RequestId) : ForwardEvent

    /** The first event of a stream was passed on to the caller. */
    data class StreamBegun(val request: RequestId, val attempt: AttemptId) : ForwardEvent

    /** An attempt is over; nothing of it will reach the caller any more. */
    data class AttemptEnded(
        val request: RequestId,
        val attempt: AttemptId,
        val outcome: AttemptOutcome
    ) : ForwardEvent
}
