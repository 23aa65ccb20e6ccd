package org.gypsumroute.api

/** Classes of the statuses of HTTP responses. A number outside of them has no meaning in HTTP. */
object HttpStatuses {
    /** Statuses of responses that come before the answer to a request. */
    val INTERIM = 100..199

    /** Statuses that the answer to a request may have. */
    val FINAL = 200..599

    /** Statuses of successes. */
    val SUCCESS = 200..299
}
