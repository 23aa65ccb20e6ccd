/*
 * Drives a gateway's reducer with events in virtual time, and sample records for its tests.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Event
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.GatewayBounds
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.Route
import org.gypsumroute.api.RouteName
import org.gypsumroute.api.RoutingTable
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceRule
import org.gypsumroute.api.Step
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TableVersion
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.UnixTime
import org.gypsumroute.api.WeightedService
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

internal val homeDataCentre = DataCentreId("home")
internal val plainService = ServiceId("plain")
internal val modelService = ServiceId("model")
internal const val KEY_DIGEST = "digest-1"

internal val sampleBounds = GatewayBounds(
    changeTime = 2.seconds,
    retryRatio = 0.2,
    retryWindow = 10.seconds,
    retryAllowance = 10.0,
    endpointLapseTime = 2400.milliseconds,
    endpointGracePeriod = 2300.milliseconds,
    reservationHold = 3.seconds,
    drainTime = 8.seconds
)

/** A profile similar to a real engine's: 20 ms to read 5,000 tokens, 43 ms for a pass. */
internal val sampleProfile = EngineProfile(
    slots = 11,
    memory = Tokens(450_000),
    stepTime = 925.microseconds,
    stepTimePerSequence = 7.microseconds,
    stepTimePerThousandContextTokens = 2540.nanoseconds,
    prefillTimePerToken = 3906.nanoseconds,
    prefillTimePerMillionPairs = 91_700.nanoseconds,
    prefillChunkTokens = 2048,
    stepsPerPass = 46,
    typicalOutput = Tokens(1500)
)

internal fun routeOf(
    prefix: String,
    service: ServiceId,
    repetition: Repetition,
    streaming: Boolean = false,
    maxAttempts: Int = 2,
    public: Boolean = false
) = Route(
    name = RouteName(prefix),
    hostName = "a.example",
    prefix = prefix,
    repetition = repetition,
    streaming = streaming,
    timeout = if (streaming) 10.seconds else 600.milliseconds,
    objective = if (streaming) 300.milliseconds else 100.milliseconds,
    gapObjective = if (streaming) 200.milliseconds else null,
    priority = 1,
    trafficSplit = listOf(WeightedService(service, 1.0)),
    maxAttempts = maxAttempts,
    public = public
)

internal fun tableOf(version: Long, vararg routes: Route) = RoutingTable(
    version = TableVersion(version),
    routes = routes.asList(),
    services = listOf(
        ServiceRule(plainService, 0.0, null),
        ServiceRule(modelService, 26.0, sampleProfile)
    ).associateBy { it.service },
    organisations = listOf(OrganisationKeys(OrganisationId("o"), setOf(KEY_DIGEST), null)),
    limits = CallerLimits(16_384, 1_000_000, 3.seconds, 15.seconds)
)

internal val sampleTable = tableOf(
    1,
    routeOf("/plain/", plainService, Repetition.IDEMPOTENT),
    routeOf("/order/", plainService, Repetition.AT_MOST_ONCE, maxAttempts = 2),
    routeOf("/once/", plainService, Repetition.AT_MOST_ONCE, maxAttempts = 1),
    routeOf("/open/", plainService, Repetition.IDEMPOTENT, public = true),
    routeOf("/stream/", modelService, Repetition.RESUMABLE, streaming = true),
    routeOf("/fixed/", modelService, Repetition.AT_MOST_ONCE, streaming = true)
)

internal fun endpointOf(
    id: String,
    service: ServiceId = plainService,
    dataCentre: DataCentreId = homeDataCentre,
    leaving: Boolean = false,
    coldRemaining: Duration = Duration.ZERO,
    startStamp: Long? = 1,
    sequence: Long = 1
) = EndpointRecord(
    id = EndpointId(id),
    service = service,
    address = EndpointAddress(id, 80),
    dataCentre = dataCentre,
    slots = if (service == modelService) 11 else 6,
    leaving = leaving,
    coldRemaining = coldRemaining,
    startedAt = startStamp?.let { UnixTime(it) },
    sequence = sequence
)

internal fun headOf(
    path: String,
    key: String? = KEY_DIGEST,
    prompt: Long? = null,
    deadline: Duration? = null,
    output: Long? = null
) = RequestHead(
    callerRequestId = "caller-$path",
    hostName = "a.example",
    path = path,
    keyDigest = key,
    timeout = deadline,
    promptTokens = prompt?.let { Tokens(it) },
    outputLimit = output?.let { Tokens(it) },
    expectedOutput = null
)

/** A harness that has read [sampleTable] and these endpoints. */
internal fun readyHarness(vararg endpoints: EndpointRecord): GatewayHarness =
    GatewayHarness().apply {
        feed(RuntimeEvent.Started)
        feedSnapshot(sampleTable, endpoints.asList())
    }

/** A report of another gateway. */
internal fun reportFrom(
    host: String,
    sequence: Long = 1,
    incarnation: String = "1",
    position: StorePosition = StorePosition.NONE,
    ready: Boolean = true,
    loads: Map<EndpointId, EngineLoad> = emptyMap(),
    members: List<EndpointAddress> = emptyList(),
    storeAnswerAge: Duration? = null,
    tableVersion: Long? = null
) = ExchangeEvent.ReportReceived(
    EndpointAddress(host, 7000),
    GatewayReport(
        HostId(host),
        IncarnationId(incarnation),
        sequence,
        position,
        storeReachable = true,
        ready = ready,
        loads = loads,
        members = members,
        storeAnswerAge = storeAnswerAge,
        tableVersion = tableVersion?.let { TableVersion(it) }
    )
)

/** Position of a store that states no eras. */
internal fun positionOf(revision: Long, era: Long = 0) =
    StorePosition(StoreEra(era), Revision(revision))
