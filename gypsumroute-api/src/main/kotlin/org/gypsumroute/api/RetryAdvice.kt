package org.gypsumroute.api

/** What a caller should do after an error. */
enum class RetryAdvice(val code: String) {
    /** The same request fails again; it has to be changed first. */
    NEVER("never"),

    /** A repeat is safe and may succeed after the time in `Retry-After`. */
    LATER("later"),

    /** A repeat may run the work a second time; the caller has to decide. */
    CALLER_DECIDES("caller_decides")
}
