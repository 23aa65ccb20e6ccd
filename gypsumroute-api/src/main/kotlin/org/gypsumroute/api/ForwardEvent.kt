package org.gypsumroute.api

/** Events of requests that a gateway forwards. Bodies and stream events never enter the reducer. */
sealed interface ForwardEvent : Event {
    /** A request arrived with its whole body. */
    data class Arrived(val request: RequestId, val head: RequestHead, val bodyBytes: Bytes) :
        ForwardEvent

    /** A request was refused before its whole body had arrived. */
    data class Rejected(val failure: Failure) : ForwardEvent

    /** The caller closed its connection before its complete request was passed on. */
    data class Withdrawn(val head: RequestHead) : ForwardEvent

    /** The caller closed its connection before the answer was complete. */
    data class CallerLeft(val request: RequestId) : ForwardEvent

    /** The first event of a stream was relayed to the caller. */
    data class StreamBegun(val request: RequestId, val attempt: AttemptId) : ForwardEvent

    /** The start [startedAt] of an endpoint stated something of itself in an answer. */
    data class EndpointStated(
        val endpoint: EndpointId,
        val startedAt: UnixTime?,
        val statement: EndpointStatement
    ) : ForwardEvent

    /** An endpoint at [address] sent bytes that the gateway drops. */
    data class InputDropped(val address: EndpointAddress, val input: UnexpectedInput) : ForwardEvent

    /** The connection of a caller was closed to save memory or descriptors. */
    data class CallerDropped(val cause: CallerDropCause) : ForwardEvent

    /**
     * An attempt has been silent for longer than its limit; it goes on unless it is abandoned. The
     * event is repeated while the attempt stays silent.
     */
    data class AttemptStalled(val request: RequestId, val attempt: AttemptId) : ForwardEvent

    /**
     * An attempt delivered a part of the answer, and the other attempts of the request were stopped
     * before that. Their ends are not reported.
     */
    data class AttemptTookOver(val request: RequestId, val attempt: AttemptId) : ForwardEvent

    /** An attempt ended; nothing more of it is relayed to the caller. */
    data class AttemptEnded(
        val request: RequestId,
        val attempt: AttemptId,
        val outcome: AttemptOutcome
    ) : ForwardEvent
}
