package org.gypsumroute.api

/** Kind of the work of a lease. */
enum class WorkKind {
    /** An engine generates text. After a failure, another endpoint may continue it. */
    GENERATION,

    /** An engine prefills one segment of a long prompt and exports its key-value cache. */
    SEGMENT,

    /** A call of a plain service that may run more than once. */
    CALL,

    /** A call of a plain service that must run at most once. */
    ACTION
}
