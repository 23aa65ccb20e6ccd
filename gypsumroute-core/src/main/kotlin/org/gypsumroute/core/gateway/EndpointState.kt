package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.GapTolerance
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RequestId

/**
 * One published endpoint and this gateway's work there. Cold until [coldUntil]; [misdirected] once
 * another endpoint answered at its address. [backlog] counts the work of all gateways, [totalPrefillSent]
 * and [totalHelperPrefillSent] add up this one's.
 */
data class EndpointState(
    val record: EndpointRecord,
    val coldUntil: Moment,
    val work: PersistentMap<RequestId, EndpointWork> = persistentMapOf(),
    val health: EndpointHealth = EndpointHealth(),
    val coldSends: SendWindow = SendWindow(),
    val misdirected: Boolean = false,
    val backlog: Backlog = Backlog(),
    val totalPrefillSent: Duration = Duration.ZERO,
    val totalHelperPrefillSent: Duration = Duration.ZERO
) {
    /** The prompt of a request was read: its helpers are done and its endpoint writes. */
    fun afterReading(request: RequestId): EndpointState {
        val read = work[request] ?: return this
        val left = if (read.helping && read.context == 0L) {
            work.remove(request)
        } else {
            work.put(request, read.copy(writing = true))
        }
        return copy(work = left)
    }

    /** Notes work that this gateway sends there. */
    fun withWork(request: RequestId, sent: EndpointWork, now: Moment): EndpointState {
        val read = if (sent.helping) Duration.ZERO else sent.readTime
        val help = if (sent.helping) sent.readTime else Duration.ZERO
        return copy(
            work = work.put(request, sent),
            backlog = backlog.plus(now, read, help),
            totalPrefillSent = totalPrefillSent + read,
            totalHelperPrefillSent = totalHelperPrefillSent + help
        )
    }

    /** The load that this gateway put there. */
    fun load(): EngineLoad {
        val running = work.values.filterNot { it.helping }
        return EngineLoad(
            openRequests = running.size,
            decodingRequests = running.count { it.writing },
            context = work.values.sumOf { it.context },
            pendingPrefill = work.values.filterNot { it.writing }
                .fold(Duration.ZERO) { sum, part -> sum + part.readTime },
            totalPrefillSent = totalPrefillSent,
            totalHelperPrefillSent = totalHelperPrefillSent,
            delayCostPerSecond = running.filterNot { it.writing }
                .sumOf { it.value / it.objective.toSeconds() },
            gapTolerances = EngineLoad.mergeEqualGaps(
                running.map {
                    GapTolerance(it.gap, it.value)
                }
            )
        )
    }
}

/**
 * A request's part of the work at one endpoint. [readTime] is what the endpoint had to read for it
 * when the work was sent; a helper only reads. [context] tokens are held until the end, also by a
 * helper with reserved memory. The stream is worth [value] if no pause is longer than
 * [gap].
 */
data class EndpointWork(
    val readTime: Duration,
    val context: Long,
    val objective: Duration,
    val gap: Duration,
    val value: Double,
    val helping: Boolean = false,
    val writing: Boolean = false
)
