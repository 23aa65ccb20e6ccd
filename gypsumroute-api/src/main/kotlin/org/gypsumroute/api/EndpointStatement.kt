package org.gypsumroute.api

import kotlin.time.Duration

/** What an endpoint states of itself in the head of an answer, beside the answer. */
sealed interface EndpointStatement {
    /** Its load. */
    data class Load(val report: EndpointLoadReport) : EndpointStatement

    /** It leaves: it finishes what runs and wants nothing new. */
    data object Leaving : EndpointStatement

    /** It turned a request away and wants nothing from this gateway for [time]. */
    data class Pause(val time: Duration) : EndpointStatement

    /** A statement that cannot be read. */
    data class Unusable(val kind: StatementKind) : EndpointStatement
}
