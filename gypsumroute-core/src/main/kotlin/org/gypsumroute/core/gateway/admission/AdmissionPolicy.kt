/*
 * What decides whether a request is sent now, waits at the gateway, or is refused.
 */
package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.core.gateway.placement.ForwardChoice

/** Decides what happens to a request for which the placement found a choice. */
typealias AdmissionPolicy = (AdmissionInput) -> AdmissionDecision

/**
 * What an admission policy decides on: the [choice] of the placement, the [room] at the engines of
 * the service and the work that already waits here.
 *
 * [answerTime] is the predicted time from the first byte to the end. [objective] is the time left
 * until the first byte is late, [remaining] the time left until the request fails, and
 * [startWithin] the time left until a request that waits is sent in any case, null before it waits.
 * An [isUrgent] request has an objective too short for a wait, compared with the others of its
 * service. [entropy] is random and spreads the reviews of several gateways.
 */
data class AdmissionInput(
    val choice: ForwardChoice,
    val answerTime: Duration,
    val room: ServiceRoom,
    val objective: Duration,
    val remaining: Duration,
    val startWithin: Duration?,
    val isUrgent: Boolean,
    val waitingRequests: Int,
    val entropy: Long
)

/** What happens to a request. */
sealed interface AdmissionDecision {
    /** The request goes to the chosen endpoint. */
    data object SendNow : AdmissionDecision

    /**
     * The request stays at the gateway and is reviewed after [reviewAfter] at the latest. It may
     * wait for [startWithin] in total; later decisions do not extend this time.
     */
    data class Wait(val reviewAfter: Duration, val startWithin: Duration) : AdmissionDecision

    /** The request is refused before anything ran; [detail] tells the caller why. */
    data class Refuse(val kind: ErrorKind, val detail: String) : AdmissionDecision
}
