package org.gypsumroute.api

/** What kind of work a lease is for. */
enum class WorkKind {
    /** A model engine generates text; it may continue on another endpoint after a failure. */
    GENERATION,

    /** A model engine prefills one segment of a long prompt and exports its key-value cache. */
    SEGMENT,

    /** A plain service's call that may be repeated. */
    CALL,

    /** A plain service's call that must run at most once. */
    ACTION
}
