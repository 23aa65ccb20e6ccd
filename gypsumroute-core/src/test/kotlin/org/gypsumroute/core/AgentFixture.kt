/*
 * Test fixture: an agent with one connected entry, which the tests drive event by event.
 */
package org.gypsumroute.core

import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.EngineState
import org.gypsumroute.api.Event
import org.gypsumroute.api.Failure
import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.GroupSegment
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.ModelId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent.DocumentRead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder
import org.gypsumroute.core.actions.ActionSecret
import org.gypsumroute.core.admission.estimateAtWarmSpeed
import org.gypsumroute.core.admission.requestGrant
import org.gypsumroute.core.admission.shortestClassFirst
import org.gypsumroute.core.engine.growAtWarmSpeed
import org.gypsumroute.core.engine.noRamp
import org.gypsumroute.core.leases.Lease
import org.gypsumroute.core.leases.checkEngine
import org.gypsumroute.core.leases.dispatch
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.requests.dispatch
import org.gypsumroute.core.requests.startWork

internal val menuModel = EngineModel(ModelId("menu-model"), null, "1")

/** The default policies that agents use. */
internal val agentPolicies = testPolicies.copy(
    queueOrder = shortestClassFirst,
    ramp = growAtWarmSpeed,
    prefillEstimate = estimateAtWarmSpeed
)

internal class AgentFixture(
    documents: List<EncodedDocument> = listOf(testDocument()),
    policies: Policies = agentPolicies.copy(ramp = noRamp)
) {
    val entry = HostId("entry-1")
    var state = AgentState(
        testCommon(testNode("agent-1", NodeRole.AGENT)).copy(policies = policies),
        ActionSecret("secret")
    )
        private set
    var effects: List<Effect> = emptyList()
        private set
    var now = Moment(1_000)
        private set

    init {
        feed(RuntimeEvent.Started)
        for (document in documents) feed(DocumentRead(null, document.right()))
        connect("entry-1#1", 1)
        feed(RuntimeEvent.TimerFired(TimerId.Startup))
    }

    /** Reduces one event at the current time and returns its effects. */
    fun feed(event: Event): List<Effect> {
        val clock = reduce(state, RuntimeEvent.ClockRead(now, 1))
        val step = reduce(clock.state, event)
        state = step.state as AgentState
        effects = clock.effects + step.effects
        return effects
    }

    fun connect(incarnation: String, connection: Long) = feed(
        PeerEvent.Connected(
            entry,
            ConnectionId(connection),
            IncarnationId(incarnation),
            NodeRole.ENTRY,
            DataCentreId("thamel")
        )
    )

    fun send(message: PeerMessage): List<Effect> = feed(
        PeerEvent.Received(entry, state.common.peers.getValue(entry).connection!!, message)
    )

    fun requestGrant(lease: String, change: (WorkOrder) -> WorkOrder = { it }): List<Effect> =
        send(PeerMessage.GrantRequest(change(workOrder(lease))))

    fun dispatch(lease: String): List<Effect> = send(
        PeerMessage.Dispatch(LeaseId(lease), Bytes(4_000), Tokens(500), emptyList())
    )

    fun grantAndStart(lease: String): List<Effect> {
        requestGrant(lease)
        return startWork(lease)
    }

    fun startWork(lease: String): List<Effect> {
        dispatch(lease)
        return feed(EngineEvent.BodyReceived(LeaseId(lease)))
    }

    /** Advances the clock and fires a timer that has no effect of its own. */
    fun advance(time: Duration): List<Effect> {
        now += time
        return feed(RuntimeEvent.TimerFired(TimerId.Lease(LeaseId("wake"))))
    }

    fun renew(vararg leases: String) = send(PeerMessage.LeaseRenewal(leases.map { LeaseId(it) }))

    fun release(lease: String) = send(PeerMessage.LeaseRelease(LeaseId(lease)))

    /** Runs one engine check: fires its timer, and 10 ms later feeds the engine's state. */
    fun checkEngine(engine: EngineState = engineState()): List<Effect> {
        now += state.common.timings.engineCheck
        val effects = feed(RuntimeEvent.TimerFired(TimerId.EngineCheck))
        now += 10.milliseconds
        return effects + feed(EngineEvent.StateRead(engine))
    }
}

internal fun engineState(
    incarnation: String = "engine#1",
    memory: Long = 100_000,
    streams: Map<String, Long> = emptyMap(),
    handles: Map<String, Long> = emptyMap(),
    used: Long = streams.values.sum() + handles.values.sum(),
    loaded: EngineModel? = menuModel,
    fencing: Long = 0
) = EngineState(
    IncarnationId(incarnation),
    Tokens(memory),
    Tokens(used),
    streams.entries.associate { LeaseId(it.key) to Tokens(it.value) },
    handles.entries.associate { HandleId(it.key) to Tokens(it.value) },
    loaded,
    FencingNumber(fencing)
)

/** A generation request of the short class that needs 1,500 tokens in total. */
internal fun workOrder(lease: String) = WorkOrder(
    lease = LeaseId(lease),
    request = RequestId("request-$lease"),
    service = ServiceId("menu-writer"),
    organisation = OrganisationId("everest-cafe"),
    lengthClass = LengthClassName("short"),
    kind = WorkKind.GENERATION,
    promptTokens = Tokens(1_000),
    outputLimit = Tokens(500),
    remaining = 30.seconds
)

internal fun WorkOrder.withPrompt(prompt: Long, lengthClass: String) =
    copy(promptTokens = Tokens(prompt), lengthClass = LengthClassName(lengthClass))

internal fun WorkOrder.asSegment(index: Int = 0) =
    copy(kind = WorkKind.SEGMENT, group = GroupSegment(index, 3))

internal fun WorkOrder.asAction(key: ActionKey) =
    copy(kind = WorkKind.ACTION, actionKey = key, path = "/orders")

/** Turns the test document into one of a plain service. */
internal fun asPlainService(document: ServiceDocument, keptRecords: Int = 10): ServiceDocument =
    document.copy(
        kind = ServiceKind.PLAIN,
        model = null,
        actions = document.actions.copy(
            notRepeatable = listOf("/orders"),
            keptRecords = keptRecords
        )
    )

internal fun List<Effect>.refusal() = sent<PeerMessage.GrantRefused>().single().failure

internal fun List<Effect>.workFailure() = sent<PeerMessage.WorkFailed>().single().failure

internal val notRun = RunState.NOT_RUN

internal val Failure.outcome get() = kind to runState

/** An agent of the fixture's pool and data centre in the host list. */
internal fun agentRecord(name: String, leaving: Boolean = false): HostRecord {
    val node = testNode(name, NodeRole.AGENT)
    return HostRecord(
        node.host,
        node.role,
        node.region,
        node.dataCentre,
        "127.0.0.1",
        1,
        node.pool,
        leaving
    )
}

/** Asks the agent for an action key. */
internal fun AgentFixture.requestActionKey(): ActionKey = send(
    PeerMessage.ActionKeyRequest(
        RequestId("key"),
        ServiceId("menu-writer"),
        OrganisationId("everest-cafe")
    )
).sent<PeerMessage.ActionKeyIssued>().single().key
