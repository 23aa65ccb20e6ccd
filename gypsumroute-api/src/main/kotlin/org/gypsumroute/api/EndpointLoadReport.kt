package org.gypsumroute.api

/**
 * The load that an endpoint states in an answer: requests that it runs, requests that wait there,
 * and the number of [slots] for requests that run. It counts requests of all callers.
 */
data class EndpointLoadReport(val running: Int, val waiting: Int, val slots: Int) {
    /** Requests that run or wait. */
    val openRequests: Int get() = running + waiting
}
