package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Stake

/**
 * One published endpoint and this gateway's work there. Cold until [coldUntil]; [misdirected] once
 * another endpoint answered at its address. [backlog] counts the work of all gateways, [readSent]
 * and [helpSent] add up this one's.
 */
data class EndpointState(
    val record: EndpointRecord,
    val coldUntil: Moment,
    val work: PersistentMap<RequestId, EndpointWork> = persistentMapOf(),
    val health: EndpointHealth = EndpointHealth(),
    val recentSends: SendWindow = SendWindow(),
    val misdirected: Boolean = false,
    val backlog: Backlog = Backlog(),
    val readSent: Duration = Duration.ZERO,
    val helpSent: Duration = Duration.ZERO
) {
    /** The prompt of a request was read: its helpers are done and its endpoint writes. */
    fun afterPrefill(request: RequestId): EndpointState {
        val read = work[request] ?: return this
        val left = if (read.isHelper && read.context == 0L) {
            work.remove(request)
        } else {
            work.put(request, read.copy(isDecoding = true))
        }
        return copy(work = left)
    }

    /** Notes work that this gateway sends there. */
    fun withWork(request: RequestId, sent: EndpointWork, now: Moment): EndpointState {
        val read = if (sent.isHelper) Duration.ZERO else sent.prefillTime
        val help = if (sent.isHelper) sent.prefillTime else Duration.ZERO
        return copy(
            work = work.put(request, sent),
            backlog = backlog.plus(now, read, help),
            readSent = readSent + read,
            helpSent = helpSent + help
        )
    }

    /** The load that this gateway put there. */
    fun load(): EngineLoad {
        val running = work.values.filterNot { it.isHelper }
        return EngineLoad(
            open = running.size,
            writers = running.count { it.isDecoding },
            context = work.values.sumOf { it.context },
            unread = work.values.filterNot { it.isDecoding }
                .fold(Duration.ZERO) { sum, part -> sum + part.prefillTime },
            readSent = readSent,
            helpSent = helpSent,
            urgency = running.filterNot { it.isDecoding }
                .sumOf { it.value / it.objective.toSeconds() },
            stakes = EngineLoad.merged(running.map { Stake(it.gap, it.value) })
        )
    }
}

/**
 * A request's part of the work at one endpoint. [prefillTime] is what the endpoint had to read for it
 * when the work was sent; a helper only reads. [context] tokens are held until the end, also by a
 * helper with reserved memory. The stream is worth [value] if no pause is longer than
 * [gap].
 */
data class EndpointWork(
    val prefillTime: Duration,
    val context: Long,
    val objective: Duration,
    val gap: Duration,
    val value: Double,
    val isHelper: Boolean = false,
    val isDecoding: Boolean = false
)
