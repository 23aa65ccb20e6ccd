package org.gypsumroute.clients

/**
 * Why an HTTP call to another service failed. [reached] is false only if no byte of the request
 * was written, so that the server cannot have seen it.
 */
sealed interface ClientFailure {
    val reached: Boolean

    /** Description of the failure for logs. */
    val cause: String

    /**
     * The call failed before any byte of the request was written, as when no connection could be
     * opened.
     */
    data class NotConnected(override val cause: String) : ClientFailure {
        override val reached: Boolean get() = false
    }

    /**
     * The connection broke or a timeout passed after at least part of the request was written, or
     * an engine reported that a stream failed. [answering] tells whether that was within the body
     * of the response, and [timedOut] whether a timeout passed before it.
     */
    data class Broken(
        override val cause: String,
        val answering: Boolean = false,
        val timedOut: Boolean = false
    ) : ClientFailure {
        override val reached: Boolean get() = true
    }

    /** The server responded with a [status] that means failure; [cause] is the response's body. */
    data class ErrorStatus(val status: Int, override val cause: String) : ClientFailure {
        override val reached: Boolean get() = true
    }

    /** The response does not follow the protocol or is larger than the limit. */
    data class Malformed(override val cause: String) : ClientFailure {
        override val reached: Boolean get() = true
    }
}
