/*
 * Drives a gateway's reducer with events in virtual time.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.Event
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.GatewayBounds
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.RoutingTable
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.NodeState
import org.gypsumroute.core.Timings
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.gateway.admission.AdmissionPolicies
import org.gypsumroute.core.gateway.admission.AdmissionPolicy
import org.gypsumroute.core.gateway.exchange.ExchangeState
import org.gypsumroute.core.gateway.placement.ForwardPlacement
import org.gypsumroute.core.gateway.placement.ForwardPlacements
import org.gypsumroute.core.gateway.placement.GatewayPolicies
import org.gypsumroute.core.gateway.placement.OrganisationExcess
import org.gypsumroute.core.reduce

/**
 * Feeds events to [reducer], keeps the effects of the last one and fires timers in time. By default
 * an exception of the reducer is not recovered from, so that it fails the test.
 */
internal class GatewayHarness(
    bounds: GatewayBounds = sampleBounds,
    startedAt: UnixTime = UnixTime(0),
    placement: ForwardPlacement = ForwardPlacements.leastPredictedLoss,
    admission: AdmissionPolicy = AdmissionPolicies.waitUnderShortage,
    organisationExcess: OrganisationExcess = { _, _ -> 0.0 },
    private val reducer: (NodeState, Event) -> Step<NodeState> = ::reduce
) {
    var state: GatewayState = GatewayState(
        common = CommonState(
            NodeIdentity(
                HostId("gateway-1"),
                IncarnationId("gateway-1#1"),
                NodeRole.GATEWAY,
                RegionId("region"),
                homeDataCentre
            ),
            Timings(),
            defaultPolicies
        ),
        bounds = bounds,
        policies = GatewayPolicies(placement, admission, organisationExcess),
        exchange = ExchangeState(EndpointAddress("10.0.0.1", 7000), emptyList()),
        startedAt = startedAt
    )
        private set
    var now: Moment = Moment.START
        private set

    /** Time of the first exit, or null. */
    var exitedAt: Moment? = null
        private set
    private val timers = LinkedHashMap<TimerId, Moment>()
    private var entropy = 0L

    /** Effects of the last event, or of all events of the last [advance]. */
    var effects: List<Effect> = emptyList()
        private set

    /** Sends among [effects]. */
    val sends: List<ForwardEffect.Send> get() = effects.filterIsInstance<ForwardEffect.Send>()

    /** Refusals among [effects]. */
    val refusals: List<ForwardEffect.Refuse>
        get() = effects.filterIsInstance<ForwardEffect.Refuse>()

    fun feed(event: Event): List<Effect> {
        step(RuntimeEvent.ClockRead(now, ++entropy))
        effects = step(event)
        return effects
    }

    private fun step(event: Event): List<Effect> {
        val step = reducer(state, event)
        state = step.state as GatewayState
        for (effect in step.effects) {
            if (effect is RuntimeEffect.SetTimer) timers[effect.timer] = now + effect.after
            if (effect is RuntimeEffect.CancelTimer) timers.remove(effect.timer)
            if (effect is RuntimeEffect.Exit && exitedAt == null) exitedAt = now
        }
        return step.effects
    }

    /** Advances the time and fires the timers that come due, in order. */
    fun advance(time: Duration): List<Effect> {
        val end = now + time
        val collected = ArrayList<Effect>()
        var next = nextTimer()
        while (next != null && next.second <= end) {
            timers.remove(next.first)
            now = maxOf(now, next.second)
            collected += feed(RuntimeEvent.TimerFired(next.first))
            next = nextTimer()
        }
        now = end
        effects = collected
        return collected
    }

    private fun nextTimer(): Pair<TimerId, Moment>? = timers.minByOrNull { it.value }?.toPair()

    /** Advances the time without firing timers, as if the process was paused. */
    fun pause(time: Duration) {
        now += time
    }

    /** Feeds a full read of the store that holds this table and these endpoints. */
    fun feedSnapshot(
        table: RoutingTable?,
        endpoints: List<EndpointRecord>,
        revision: Long = state.published.position.revision.value + 1,
        era: Long = state.published.reads.era.value
    ): List<Effect> = feed(
        PublishedEvent.SnapshotRead(
            latestRead,
            Revision(revision),
            listOfNotNull(table?.let { PublishedRecord.Table(it) }) +
                endpoints.map { PublishedRecord.Endpoint(it) },
            AnsweredEra(StoreEra(era))
        )
    )

    /** Feeds changed records of the next revision. */
    fun feedChanges(vararg records: PublishedRecord): List<Effect> {
        val position = state.published.position
        return feedChanges(position.revision.value + 1, position, records.asList())
    }

    /** Feeds what changed [after] a position up to [revision] in the same or another era. */
    fun feedChanges(
        revision: Long,
        after: StorePosition,
        records: List<PublishedRecord>,
        era: StoreEra = after.era,
        read: ReadId = latestRead
    ): List<Effect> = feed(
        PublishedEvent.ChangesRead(read, after, Revision(revision), records, AnsweredEra(era))
    )

    /** The read of the store that was started last. */
    val latestRead: ReadId get() = state.published.reads.latest

    /** Feeds the failure of the latest read. */
    fun failRead(cause: String = "503", repeatable: Boolean = true): List<Effect> =
        feed(PublishedEvent.ReadFailed(latestRead, cause, repeatable))

    /** Feeds that the store dropped its history. */
    fun loseHistory(): List<Effect> = feed(PublishedEvent.HistoryLost(latestRead))

    /** Feeds the arrival of a request. */
    fun arrive(request: String, head: RequestHead = headOf("/plain/x")): List<Effect> =
        feed(ForwardEvent.Arrived(RequestId(request), head, Bytes(0)))

    /** Reads the clock without a further event, as the first step after a pause does. */
    fun readClock(): List<Effect> {
        effects = step(RuntimeEvent.ClockRead(now, ++entropy))
        return effects
    }

    /** Ends the request's current attempt. */
    fun endAttempt(request: String, outcome: AttemptOutcome): List<Effect> {
        val attempt = state.requests.getValue(RequestId(request)).attempt!!.id
        return feed(ForwardEvent.AttemptEnded(RequestId(request), attempt, outcome))
    }

    /** Feeds the first event of the request's stream. */
    fun beginStream(request: String): List<Effect> {
        val attempt = state.requests.getValue(RequestId(request)).attempt!!.id
        return feed(ForwardEvent.StreamBegun(RequestId(request), attempt))
    }
}

/** A harness that has read [sampleTable] and these endpoints. */
internal fun readyHarness(vararg endpoints: EndpointRecord): GatewayHarness =
    GatewayHarness().apply {
        feed(RuntimeEvent.Started)
        feedSnapshot(sampleTable, endpoints.asList())
    }
