package org.gypsumroute.api

/** Whether the work of a failed request reached an engine or a plain service. */
enum class RunState(val code: String) {
    /** No engine and no plain service saw the work; a repeat is safe. */
    NOT_RUN("not_run"),

    /** The work ran, wholly or in part. */
    RAN("ran"),

    /** The work may have run; nobody can tell any more. */
    UNKNOWN("unknown")
}
