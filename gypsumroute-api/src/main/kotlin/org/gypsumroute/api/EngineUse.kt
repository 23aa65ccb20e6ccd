package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Engine time of requests, as a sum that decays with time: the time that all requests [asked] for,
 * and the time of those that were [admitted], which counts again with each attempt.
 */
data class EngineUse(val asked: Duration = Duration.ZERO, val admitted: Duration = Duration.ZERO) {
    /** The larger figure: a request that was sent twice was admitted for more than it asked. */
    val demand: Duration get() = maxOf(asked, admitted)

    operator fun plus(other: EngineUse): EngineUse =
        EngineUse(asked + other.asked, admitted + other.admitted)
}
