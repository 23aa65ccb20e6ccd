/*
 * Warm-up of the endpoint: the share of capacity on offer grows with work done at warm speed.
 */
package org.gypsumroute.core.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.RampContext
import org.gypsumroute.core.admission.Demand
import org.gypsumroute.core.admission.fits
import org.gypsumroute.core.admission.initialShare
import org.gypsumroute.core.admission.offeredShare
import org.gypsumroute.core.leases.Reservation
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.requests.revoke
import org.gypsumroute.core.step
import org.gypsumroute.core.then
import org.gypsumroute.core.thenEach

/** Evaluates the duration of one prefill or call, and grows or resets the share on offer. */
internal fun updateWarmth(
    state: AgentState,
    reservation: Reservation,
    elapsed: Duration
): Step<AgentState> {
    val document = state.common.documents.inForce(reservation.service) ?: return state.step()
    val ledger = state.ledger
    val tokens = Tokens(
        if (reservation.onEngine) {
            ledger.openedPromptTokens - reservation.prefilledTokensAtOpen
        } else {
            0
        }
    )
    val warmPrefill = state.common.policies.prefillEstimate(tokens, document.ramp)
    val context = RampContext(
        rule = document.ramp,
        share = state.offeredShare(document),
        completionsAtShare = state.warmth.completions + 1,
        workAtShare = state.warmth.warmTime +
            if (reservation.onEngine) warmPrefill else WARM_TIME_PER_CALL,
        elapsed = elapsed,
        warmEstimate = document.ramp.warmFirstToken + warmPrefill
    )
    val share = state.common.policies.ramp(context).coerceIn(0.0, 1.0)
    return when {
        share < context.share -> resetWarmth(state, reservation.service, "prefill took $elapsed")

        share > context.share -> state.copy(warmth = Warmth(share)).step()

        isCold(context) -> state.copy(warmth = Warmth(share)).step()

        else -> state.copy(
            warmth = Warmth(share, context.completionsAtShare, context.workAtShare)
        ).step()
    }
}

/**
 * Restarts the ramp, and revokes grants that have not been handed to the engine and that the
 * reduced share does not cover.
 */
internal fun resetWarmth(state: AgentState, service: ServiceId?, cause: String): Step<AgentState> {
    val document = service?.let { state.common.documents.inForce(it) }
    val before = document?.let { state.offeredShare(it) }
    val cold = state.copy(warmth = Warmth(document?.let { state.initialShare(it) }))
    val log = logEffect(LogEvent.ENGINE_COLD, "cause" to cause, "share" to (before ?: "unknown"))
    return cold.step(log).then(::revokeGrantsBeyondShare)
}

private fun revokeGrantsBeyondShare(state: AgentState): Step<AgentState> {
    val planned = state.ledger.reservations.values
        .filter { it.hold == EngineHold.PLANNED }
        .sortedBy { it.grantedAt }
    val withoutPlanned = planned.fold(state.ledger) { ledger, reservation ->
        ledger.remove(reservation.lease)
    }
    return state.copy(ledger = withoutPlanned).step().thenEach(planned) { current, reservation ->
        val document = current.common.documents.inForce(reservation.service)
        val demand = Demand(
            lengthClass = reservation.lengthClass,
            prompt = reservation.prompt,
            tokens = reservation.tokens,
            grouped = reservation.grouped,
            plain = !reservation.onEngine
        )
        val fits = document != null && current.fits(document, demand)
        val restored = current.copy(ledger = current.ledger.put(reservation))
        val lease = current.leases[reservation.lease]
        if (fits ||
            lease == null
        ) {
            restored.step()
        } else {
            revoke(restored, lease, "the endpoint turned cold")
        }
    }
}

// Plain services have no prefill, so each call counts as enough work for the share to grow with the
// number of calls alone: 1 minute is the longest warmFirstToken that a document may set.
private val WARM_TIME_PER_CALL = 1.minutes
