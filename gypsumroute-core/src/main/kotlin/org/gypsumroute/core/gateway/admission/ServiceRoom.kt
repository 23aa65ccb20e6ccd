/*
 * Whether the engines of a service have room for urgent prompts, that is whether the service is
 * short of capacity.
 */
package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.ServiceId
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.attempts.knownLoad
import org.gypsumroute.core.gateway.endpoints.EndpointState
import org.gypsumroute.core.gateway.endpoints.isPaused
import org.gypsumroute.core.gateway.endpoints.isReachable
import org.gypsumroute.core.gateway.exchange.recentPeerReports
import org.gypsumroute.core.gateway.placement.EngineModel
import org.gypsumroute.core.gateway.placement.ForwardCandidate

/**
 * The room at the [engines] of a service. An urgent prompt could start at once on [withRoom] of
 * them; [meanBacklog] is the mean time that they still read. [openRequests] are known for them,
 * and they have [slots].
 */
data class ServiceRoom(
    val engines: Int,
    val withRoom: Int,
    val meanBacklog: Duration,
    val openRequests: Int,
    val slots: Int
) {
    /** Whether too few engines can take an urgent prompt. */
    val isShort: Boolean get() = withRoom < engines * MIN_SHARE_WITH_ROOM

    /**
     * Whether too few engines can take an urgent prompt once [readers] of them read another one.
     * While most engines have room, any number of readers is allowed.
     */
    fun isShortWith(readers: Int): Boolean = withRoom < engines * AMPLE_SHARE_WITH_ROOM &&
        withRoom - readers < engines * MIN_SHARE_WITH_ROOM

    /** Whether at least half of the slots are in use. */
    val isHalfUsed: Boolean get() = 2 * openRequests >= slots

    private companion object {
        /** With fewer, urgent prompts of several gateways often meet at the same engine. */
        const val MIN_SHARE_WITH_ROOM = 0.5

        /** The others are those that any long prompt keeps busy for a moment. */
        const val AMPLE_SHARE_WITH_ROOM = 0.75
    }
}

/** Whether the engines of a service have too little room for urgent prompts. */
internal fun isShort(state: GatewayState, service: ServiceId): Boolean =
    knownRoom(state, service)?.isShort == true

/** The room according to the known work of all gateways; null without engines. */
internal fun knownRoom(state: GatewayState, service: ServiceId): ServiceRoom? {
    val profile = state.published.table?.services?.get(service)?.engine ?: return null
    val limit = backlogLimit(profile, urgentObjective(state, service))
    val others = recentPeerReports(state)
    val tally = RoomTally(limit)
    for (endpoint in state.endpoints.values) {
        if (!mayGetWork(state, service, endpoint)) continue
        val load = knownLoad(endpoint, others)
        val backlog = endpoint.backlogUnder(load, state.common.now)
        tally.add(backlog.total, load.openRequests, endpoint.record.slots)
    }
    return tally.room()
}

/** The room at the candidates of a placement. */
internal fun roomOf(
    candidates: List<ForwardCandidate>,
    profile: EngineProfile,
    urgentObjective: Duration
): ServiceRoom {
    val tally = RoomTally(backlogLimit(profile, urgentObjective))
    for (candidate in candidates) {
        tally.add(candidate.backlog.total, candidate.load.openRequests, candidate.record.slots)
    }
    return tally.room()
}

/** An engine that cannot be reached, or is to get nothing new, has no room although it is idle. */
private fun mayGetWork(state: GatewayState, service: ServiceId, endpoint: EndpointState): Boolean =
    isReachable(state, service, endpoint) && !isPaused(state, endpoint)

/** Longest backlog behind which an urgent prompt is still read in time. */
private fun backlogLimit(profile: EngineProfile, urgentObjective: Duration): Duration =
    maxOf(urgentObjective * URGENT_BACKLOG_SHARE, EngineModel(profile).passTime(1, 0))

/** Sums up the engines of a service. */
private class RoomTally(private val backlogLimit: Duration) {
    private var engines = 0
    private var withRoom = 0
    private var backlogs = Duration.ZERO
    private var openRequests = 0
    private var slots = 0

    fun add(backlog: Duration, open: Int, engineSlots: Int) {
        engines++
        backlogs += backlog
        openRequests += open
        slots += engineSlots
        if (backlog <= backlogLimit && open < engineSlots) withRoom++
    }

    fun room() = ServiceRoom(
        engines,
        withRoom,
        backlogs / engines.coerceAtLeast(1),
        openRequests,
        slots
    )
}

/** The rest of the objective is for reading the prompt and for the first passes. */
private const val URGENT_BACKLOG_SHARE = 1.0 / 3
