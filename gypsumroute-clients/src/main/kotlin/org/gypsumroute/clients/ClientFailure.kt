package org.gypsumroute.clients

/**
 * Why a call to a part of the platform failed. [reached] is false only if no byte of the request
 * was written, so that the other side cannot have seen it.
 */
sealed interface ClientFailure {
    val reached: Boolean

    /** What happened, for logs. */
    val cause: String

    /** No connection could be opened. */
    data class NotConnected(override val cause: String) : ClientFailure {
        override val reached: Boolean get() = false
    }

    /** The connection broke or a timeout passed after the request was at least partly written. */
    data class Broken(override val cause: String) : ClientFailure {
        override val reached: Boolean get() = true
    }

    /** The other side answered with a status that means failure; [cause] is its answer. */
    data class Refused(val status: Int, override val cause: String) : ClientFailure {
        override val reached: Boolean get() = true
    }

    /** The answer does not follow the protocol. */
    data class Malformed(override val cause: String) : ClientFailure {
        override val reached: Boolean get() = true
    }
}
