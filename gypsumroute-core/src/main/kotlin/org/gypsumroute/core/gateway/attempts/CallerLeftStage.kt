package org.gypsumroute.core.gateway.attempts

/** How far a request was when its caller closed the connection. */
internal enum class CallerLeftStage(val code: String) {
    /** The caller's close was read together with the request, which was not passed on. */
    UNREAD("unread"),

    /** No endpoint had the request, for example because memory was being reserved for it. */
    WAITING("waiting"),

    /** The request had been sent to an endpoint. */
    SENT("sent"),

    /** The caller had a part of the answer. */
    ANSWERED_IN_PART("answered_in_part")
}
