package org.gypsumroute.api

/** What a caller should do after an error. */
enum class RetryAdvice(val code: String) {
    /** The same request would fail again; the caller must change it first. */
    NEVER("never"),

    /** A retry is safe and may succeed after the time in `Retry-After`. */
    LATER("later"),

    /** A retry may run the work a second time, so the caller has to decide. */
    CALLER_DECIDES("caller_decides")
}
