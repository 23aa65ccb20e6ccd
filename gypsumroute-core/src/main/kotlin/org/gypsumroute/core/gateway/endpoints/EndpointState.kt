package org.gypsumroute.core.gateway.endpoints

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.GapTolerance
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RequestId
import org.gypsumroute.core.gateway.placement.toSeconds

/**
 * One published endpoint and the work that this gateway has sent there.
 *
 * The endpoint is cold until [coldUntil], and [misdirected] once another endpoint answered at its
 * address. [work] holds the requests of this gateway that are open there, and [unseenLoad] those
 * that only the endpoint itself stated. [backlog] estimates the unread prompts of all gateways.
 * [totalPrefillSent] and [totalHelperPrefillSent] add up the reading time that this gateway ever
 * sent, for own prompts and for parts that the endpoint reads as a helper.
 */
data class EndpointState(
    val record: EndpointRecord,
    val coldUntil: Moment,
    val work: PersistentMap<RequestId, EndpointWork> = persistentMapOf(),
    val health: EndpointHealth = EndpointHealth(),
    val pace: PaceEstimate = PaceEstimate(),
    val recentSends: SendWindow = SendWindow(),
    val misdirected: Boolean = false,
    val unseenLoad: UnseenLoad = UnseenLoad(),
    val backlog: Backlog = Backlog(),
    val totalPrefillSent: Duration = Duration.ZERO,
    val totalHelperPrefillSent: Duration = Duration.ZERO
) {
    /**
     * Records that the prompt of [request] was read. The endpoint that runs it now decodes; the
     * work of a helper ends, unless the helper holds memory for the request.
     */
    fun afterPrefill(request: RequestId): EndpointState {
        val part = work[request] ?: return this
        val remaining = if (part.isHelper && part.context == 0L) {
            work.remove(request)
        } else {
            work.put(request, part.copy(isDecoding = true))
        }
        return copy(work = remaining)
    }

    /** Adds work that this gateway sends to the endpoint. */
    fun withWork(request: RequestId, sent: EndpointWork, now: Moment): EndpointState {
        val ownPrompt = if (sent.isHelper) Duration.ZERO else sent.prefillTime
        val helperPart = if (sent.isHelper) sent.prefillTime else Duration.ZERO
        return copy(
            work = work.put(request, sent),
            backlog = backlog.plus(now, ownPrompt, helperPart),
            totalPrefillSent = totalPrefillSent + ownPrompt,
            totalHelperPrefillSent = totalHelperPrefillSent + helperPart
        )
    }

    /** The unread prompts at [now], of which no more are left than [load] has pending. */
    fun backlogUnder(load: EngineLoad, now: Moment): Backlog =
        backlog.advancedTo(now).cappedAt(load.pendingPrefill)

    /** The load that this gateway itself puts on the endpoint. */
    fun ownLoad(): EngineLoad {
        val running = work.values.filterNot { it.isHelper }
        return EngineLoad(
            openRequests = running.size,
            decodingRequests = running.count { it.isDecoding },
            context = work.values.sumOf { it.context },
            pendingPrefill = work.values.filterNot { it.isDecoding }
                .fold(Duration.ZERO) { sum, part -> sum + part.prefillTime },
            totalPrefillSent = totalPrefillSent,
            totalHelperPrefillSent = totalHelperPrefillSent,
            delayCostPerSecond = running.filterNot { it.isDecoding }
                .sumOf { it.value / it.objective.toSeconds() },
            gapTolerances = EngineLoad.mergeEqualGaps(
                running.map { GapTolerance(it.gapObjective, it.value) }
            )
        )
    }
}

/**
 * A request's part of the work at one endpoint.
 *
 * [prefillTime] is the reading time that was sent to the endpoint for it; a helper only reads.
 * [context] tokens are held until the request ends, also by a helper with reserved memory. The
 * stream has its full [value] if no pause is longer than [gapObjective].
 */
data class EndpointWork(
    val prefillTime: Duration,
    val context: Long,
    val objective: Duration,
    val gapObjective: Duration,
    val value: Double,
    val isHelper: Boolean = false,
    val isDecoding: Boolean = false
)
