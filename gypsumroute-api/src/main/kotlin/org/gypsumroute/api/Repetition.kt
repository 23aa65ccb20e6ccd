package org.gypsumroute.api

/** Whether the work of a request may run more than once. */
enum class Repetition {
    /** The work must run at most once. */
    AT_MOST_ONCE,

    /** The work may run again from its start, as long as no part of an answer was relayed. */
    IDEMPOTENT,

    /** A stream that another endpoint may continue after the last event that was relayed. */
    RESUMABLE
}
