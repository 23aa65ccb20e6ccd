package org.gypsumroute.api

/** How often the work of one request may run. */
enum class Repetition {
    /** The work must run at most once. */
    AT_MOST_ONCE,

    /** The work may run again from its beginning. */
    IDEMPOTENT,

    /** A stream that may go on at another endpoint after the last event passed on. */
    RESUMABLE
}
