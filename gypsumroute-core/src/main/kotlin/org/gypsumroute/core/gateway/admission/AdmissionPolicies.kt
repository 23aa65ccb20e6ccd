/*
 * Admission policies.
 *
 * While enough engines can read a short prompt at once, every request is sent as soon as it
 * arrives. Under shortage a request with slack waits, so that prompts with a short objective are
 * read first. It is sent when engines have room again, and at the latest when it would otherwise
 * miss its own objective.
 */
package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.core.gateway.admission.AdmissionDecision.Refuse
import org.gypsumroute.core.gateway.admission.AdmissionDecision.SendNow
import org.gypsumroute.core.gateway.admission.AdmissionDecision.Wait
import org.gypsumroute.core.unitInterval

/** Admission functions for the policies of a gateway. */
object AdmissionPolicies {
    /** Sends every request as soon as it arrives. */
    val sendAlways: AdmissionPolicy = { SendNow }

    /** Sends at once while there is room; under shortage, requests with slack wait. */
    val waitUnderShortage: AdmissionPolicy = { input ->
        when {
            !input.room.isShortWith(readersOf(input.choice)) -> SendNow
            isUnreachable(input) -> Refuse(ErrorKind.DEADLINE_UNREACHABLE, UNREACHABLE_DETAIL)
            input.isUrgent -> SendNow
            else -> waitWithin(slackOf(input), input.entropy)
        }
    }

    private fun waitWithin(slack: Duration, entropy: Long): AdmissionDecision {
        if (slack < MIN_REVIEW_INTERVAL) return SendNow
        val interval = MIN_REVIEW_INTERVAL * (1 + unitInterval(entropy))
        return Wait(minOf(interval, slack), slack)
    }

    /**
     * Whether the first byte cannot come before the deadline. Waiting does not help, because the
     * predicted time already assumes that the engines read nothing but their backlog.
     */
    private fun isUnreachable(input: AdmissionInput): Boolean {
        val mayRefuse = input.room.isHalfUsed || input.waitingRequests > 0
        return mayRefuse &&
            input.choice.predictedFirstByte * OPTIMISTIC_PREDICTION > input.remaining
    }

    /**
     * Time for which the request can wait. A request that misses its objective in any case can wait
     * as long as its deadline allows. A wait never becomes longer than it was at first, because a
     * backlog that grows meanwhile would otherwise move the start on and on.
     */
    private fun slackOf(input: AdmissionInput): Duration {
        val predicted = input.choice.predictedFirstByte
        val forObjective = input.objective - predicted * CAUTIOUS_PREDICTION
        val forDeadline = input.remaining - (predicted + input.answerTime) * CAUTIOUS_PREDICTION
        val missesObjective = predicted > input.objective
        val slack = if (missesObjective) forDeadline else minOf(forObjective, forDeadline)
        return minOf(slack, input.startWithin ?: Duration.INFINITE)
    }

    private const val UNREACHABLE_DETAIL = "no endpoint can answer within the time of the request"

    /** At shorter intervals many gateways would send before they hear of each other's sends. */
    private val MIN_REVIEW_INTERVAL: Duration = 100.milliseconds

    /** Part of a predicted time that is needed even if the prediction is much too long. */
    private const val OPTIMISTIC_PREDICTION = 0.75

    /** Factor on a predicted time within which the first byte comes even if it is too short. */
    private const val CAUTIOUS_PREDICTION = 1.5
}
