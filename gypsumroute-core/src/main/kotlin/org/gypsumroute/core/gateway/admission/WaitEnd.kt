package org.gypsumroute.core.gateway.admission

/** How a wait at the gateway ended. */
internal enum class WaitEnd(val code: String) {
    SENT("sent"),

    /** The request was refused, or its caller left. */
    ENDED("ended")
}
