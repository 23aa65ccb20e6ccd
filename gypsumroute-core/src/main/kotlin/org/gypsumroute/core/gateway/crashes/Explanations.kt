package org.gypsumroute.core.gateway.crashes

import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.Moment
import org.gypsumroute.api.PromptPartId

/**
 * Tells which losses of endpoints other parts account for than those of one request, [requested].
 * For example, a first part that many prompts begin with is lost at each endpoint that one of them
 * crashes.
 *
 * A part that was in complete answers lately is most likely not the cause. So a part that was in
 * none accounts for its losses from the first loss on, and is itself accounted for only by others
 * that were in none.
 */
internal class Explanations(
    private val crashes: CrashEvidence,
    private val now: Moment,
    private val requested: Set<PromptPartId>
) {
    private val byUnproven: Set<EndpointStart> by lazy {
        startsUnder { part, evidence ->
            evidence.isEstablished && !crashes.isProven(part, now)
        }
    }

    private val byAny: Set<EndpointStart> by lazy {
        startsUnder { part, evidence ->
            evidence.isEstablished || !crashes.isProven(part, now)
        }
    }

    /**
     * Whether other parts account for the losses of [part], so that it is not suspect. A part that
     * was in complete answers lately is suspect only for as many further losses as make any part
     * suspect. For another one, a single further loss makes no difference if it is the latest,
     * since the report of it on the other part may not have arrived yet.
     */
    fun accountFor(part: PromptPartId, evidence: PartEvidence): Boolean {
        val isProven = crashes.isProven(part, now)
        val explained = if (isProven) byAny else byUnproven
        val unexplained = evidence.losses.filterNot { it.start in explained }
        return when {
            unexplained.isEmpty() -> true
            !evidence.isEstablished -> false
            isProven -> !evidence.copy(losses = unexplained).isEstablished
            else -> unexplained == listOf(evidence.losses.last())
        }
    }

    private fun startsUnder(
        accountsForLosses: (PromptPartId, PartEvidence) -> Boolean
    ): Set<EndpointStart> {
        val starts = HashSet<EndpointStart>()
        for ((part, evidence) in crashes.parts) {
            if (part !in requested && accountsForLosses(part, evidence)) starts += evidence.starts
        }
        return starts
    }
}
