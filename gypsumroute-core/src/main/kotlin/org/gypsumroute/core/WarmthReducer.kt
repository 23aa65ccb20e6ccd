/*
 * Warmth of the endpoint: the share of capacity on offer grows with work done at warm speed.
 */
package org.gypsumroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.api.Tokens

/** Judges the speed of one prefill or call, and grows or resets the share on offer. */
internal fun judgeWarmth(
    state: AgentState,
    reservation: Reservation,
    elapsed: Duration
): Step<AgentState> {
    val document = state.common.documents.inForce(reservation.service) ?: return state.step()
    val work = Tokens(
        if (reservation.onEngine) state.ledger.opened - reservation.prefillMark else 0
    )
    val prefill = state.common.policies.prefillEstimate(work, document.ramp)
    val question = RampContext(
        rule = document.ramp,
        share = state.shareFor(document),
        completionsAtShare = state.warmth.completions + 1,
        workAtShare = state.warmth.work + if (reservation.onEngine) prefill else CALL_WORK,
        elapsed = elapsed,
        warmEstimate = document.ramp.warmFirstToken + prefill
    )
    val share = state.common.policies.ramp(question).coerceIn(0.0, 1.0)
    return when {
        share < question.share -> turnCold(state, reservation.service, "prefill took $elapsed")

        share > question.share -> state.copy(warmth = Warmth(share)).step()

        isCold(question) -> state.copy(warmth = Warmth(share)).step()

        else -> state.copy(
            warmth = Warmth(share, question.completionsAtShare, question.workAtShare)
        ).step()
    }
}

/**
 * Starts the ramp again and withdraws grants that the engine has not seen and that the cold share
 * does not cover.
 */
internal fun turnCold(state: AgentState, service: ServiceId?, cause: String): Step<AgentState> {
    val document = service?.let { state.common.documents.inForce(it) }
    val before = document?.let { state.shareFor(it) }
    val cold = state.copy(warmth = Warmth(document?.let { state.initialShare(it) }))
    val log = logEffect(LogEvent.ENGINE_COLD, "cause" to cause, "share" to (before ?: "unknown"))
    return cold.step(log).then(::withdrawExcess)
}

private fun withdrawExcess(state: AgentState): Step<AgentState> {
    val planned = state.ledger.reservations.values
        .filter { it.hold == EngineHold.PLANNED }
        .sortedBy { it.grantedAt }
    val committed = planned.fold(state.ledger) { ledger, reservation ->
        ledger.remove(reservation.lease)
    }
    return state.copy(ledger = committed).step().thenEach(planned) { current, reservation ->
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

// Calls of plain services have no prefill; their number alone lets the share grow.
private val CALL_WORK = 1.minutes
