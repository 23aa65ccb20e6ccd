package org.gypsumroute.api

/** Why a gateway closes the connection of a caller that keeps to the published limits. */
enum class CallerDropCause(val code: String) {
    /** The answers that callers have not read take too much memory, and it holds the most. */
    UNREAD_ANSWERS("unread_answers"),

    /** There are too many connections, and it is the one that has been idle for longest. */
    TOO_MANY_CONNECTIONS("too_many_connections")
}
