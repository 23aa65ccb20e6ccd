package org.gypsumroute.core

import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Event
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.admission.freeMemory
import org.gypsumroute.core.admission.refuse
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.peers.expectedWait
import org.gypsumroute.core.requests.PlacementPolicies
import org.gypsumroute.core.requests.RetryPolicies
import org.gypsumroute.core.requests.retry

/** An entry under test: feeds events, each after a clock reading, and records all effects. */
internal class EntryHarness(
    documents: List<EncodedDocument> = listOf(testDocument()),
    hosts: List<HostRecord> = listOf(agent("a1"), agent("a2"), agent("a3", "patan")),
    policies: Policies = testPolicies.copy(
        placement = PlacementPolicies.expectedWait,
        retry = RetryPolicies.budgeted
    ),
    connected: Boolean = true,
    private val reducer: (NodeState, Event) -> Step<NodeState> = ::reduce
) {
    val effects = mutableListOf<Effect>()
    var now = Moment(1)
    var state = EntryState(testCommon().copy(policies = policies, startupWaitElapsed = true))
    private var connections = 0L

    init {
        documents.forEach { feed(PlatformEvent.DocumentRead(null, it.right())) }
        feed(PlatformEvent.HostsRead(hosts))
        if (connected) hosts.filter { it.role == NodeRole.AGENT }.forEach { connect(it.host.value) }
        effects.clear()
    }

    /** Feeds events and returns the effects that they caused. */
    fun feed(vararg events: Event): List<Effect> {
        val start = effects.size
        for (event in events) {
            step(RuntimeEvent.ClockRead(now, now.milliseconds * 31))
            step(event)
        }
        return effects.subList(start, effects.size).toList()
    }

    private fun step(event: Event) {
        val step = reducer(state, event)
        state = step.state as EntryState
        effects += step.effects
    }

    fun advance(by: Duration): List<Effect> {
        val start = effects.size
        now += by
        step(RuntimeEvent.ClockRead(now, now.milliseconds * 31))
        return effects.subList(start, effects.size).toList()
    }

    fun connect(host: String, incarnation: String = "$host#1"): ConnectionId {
        connections++
        val connection = ConnectionId(connections)
        val record = state.common.hosts.getValue(HostId(host))
        feed(
            PeerEvent.Connected(
                HostId(host),
                connection,
                IncarnationId(incarnation),
                NodeRole.AGENT,
                record.dataCentre
            )
        )
        answerHeartbeat(host)
        return connection
    }

    fun answerHeartbeat(host: String): List<Effect> =
        receive(host, PeerMessage.Heartbeat(state.common.documents.hash, summary()))

    fun disconnect(host: String): List<Effect> =
        feed(PeerEvent.Disconnected(HostId(host), connectionOf(host), "closed"))

    fun connectionOf(host: String): ConnectionId? = state.common.peers[HostId(host)]?.connection

    fun receive(host: String, message: PeerMessage): List<Effect> =
        feed(PeerEvent.Received(HostId(host), connectionOf(host)!!, message))

    fun open(id: String, bytes: Long = 100, key: String = "digest-1"): List<Effect> =
        feed(CallerEvent.Opened(RequestId(id), key, Bytes(bytes)))

    fun generate(
        id: String,
        prompt: Long = 1_000,
        output: Long? = 100,
        timeout: Duration? = 10.seconds,
        key: String = "digest-1"
    ): List<Effect> = open(id, key = key) + feed(
        CallerEvent.GenerationArrived(
            request = RequestId(id),
            service = ServiceId("menu-writer"),
            keyDigest = key,
            promptTokens = Tokens(prompt),
            bodyBytes = Bytes(prompt * 4),
            outputLimit = output?.let { Tokens(it) },
            timeout = timeout,
            prefix = PrefixDigest(7)
        )
    )

    fun call(id: String, path: String, key: String? = null, timeout: Duration = 10.seconds) =
        open(id) + feed(
            CallerEvent.CallArrived(
                request = RequestId(id),
                service = ServiceId("order-desk"),
                keyDigest = "digest-1",
                path = path,
                bodyBytes = Bytes(10),
                timeout = timeout,
                actionKey = key?.let { ActionKey(it) }
            )
        )

    fun grant(lease: LeaseRecord): List<Effect> = receive(
        lease.host.value,
        PeerMessage.GrantIssued(lease.lease, 5.seconds, summary())
    )

    fun refuse(
        lease: LeaseRecord,
        kind: ErrorKind = ErrorKind.OVERLOADED,
        runState: RunState = RunState.NOT_RUN
    ): List<Effect> = receive(
        lease.host.value,
        PeerMessage.GrantRefused(lease.lease, Failure(kind, "full", runState), summary())
    )

    fun failWork(lease: LeaseRecord, kind: ErrorKind, runState: RunState): List<Effect> = receive(
        lease.host.value,
        PeerMessage.WorkFailed(lease.lease, Failure(kind, "failed", runState))
    )

    fun segmentReady(lease: LeaseRecord): List<Effect> = receive(
        lease.host.value,
        PeerMessage.SegmentReady(
            lease.lease,
            SegmentHandle(HandleId("kv-${lease.lease}"), "${lease.host}:1", Tokens(1))
        )
    )

    fun progress(lease: LeaseRecord, tokens: Long, held: Long = 0): List<Effect> =
        feed(AnswerEvent.Progress(lease.request, lease.lease, Tokens(tokens), Bytes(held)))

    fun complete(lease: LeaseRecord, tokens: Long = 10, held: Long = 0): List<Effect> =
        feed(AnswerEvent.Completed(lease.request, lease.lease, Tokens(tokens), Bytes(held)))

    fun fireTimer(timer: TimerId): List<Effect> = feed(RuntimeEvent.TimerFired(timer))

    fun leases(id: String): List<LeaseRecord> =
        state.leases.values.filter { it.request == RequestId(id) }.sortedBy { it.host.value }

    /** Grants the first lease of a request, in host id order, and returns it as it was before. */
    fun grantFirstLease(id: String): LeaseRecord = leases(id).first().also { grant(it) }

    companion object {
        const val MEMORY = 100_000L
    }
}

internal fun summary(free: Long = EntryHarness.MEMORY, wait: Duration = 0.milliseconds) =
    EndpointSummary(
        engineMemory = Tokens(EntryHarness.MEMORY),
        freeMemory = Tokens(free),
        warmShare = 1.0,
        runningStreams = 0,
        queued = 0,
        expectedWait = wait,
        accepting = true
    )

internal fun agent(
    host: String,
    dataCentre: String = "thamel",
    leaving: Boolean = false,
    pool: String = "menu"
) = HostRecord(
    host = HostId(host),
    role = NodeRole.AGENT,
    region = RegionId("bagmati"),
    dataCentre = DataCentreId(dataCentre),
    address = "127.0.0.1",
    port = 1,
    pool = PoolId(pool),
    leaving = leaving
)

internal fun List<Effect>.failures(): List<CallerEffect.Fail> =
    filterIsInstance<CallerEffect.Fail>()

internal fun List<Effect>.failure(): Failure = failures().single().failure

internal inline fun <reified M : PeerMessage> List<Effect>.sent(): List<M> =
    filterIsInstance<PeerEffect.Send>().map { it.message }.filterIsInstance<M>()
