package org.gypsumroute.api

/** Whether the work of a failed request reached an engine or a plain service. */
enum class RunState(val code: String) {
    /** No engine and no plain service received the work, so a retry is safe. */
    NOT_RUN("not_run"),

    /** The work ran completely or in part. */
    RAN("ran"),

    /** The work may have run; that can no longer be determined. */
    UNKNOWN("unknown")
}
