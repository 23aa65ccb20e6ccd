/*
 * States of an entry and an agent of a given size, built by applying events to the reducer.
 */
package org.gypsumroute.capacity

import arrow.core.right
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionRule
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.DeadlineRule
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.DocumentDigest
import org.gypsumroute.api.DocumentVersion
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.EngineState
import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.GroupRule
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LengthClass
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.LimitRule
import org.gypsumroute.api.ModelId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RampRule
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.RetryRule
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Timings
import org.gypsumroute.core.actions.ActionSecret
import org.gypsumroute.core.defaultPolicies

/** An entry that has started and is connected to [endpoints] endpoints. */
internal fun sampleEntry(endpoints: Int, organisations: Int = 20): SampleProcess {
    val process = SampleProcess(EntryState(commonState(NodeRole.ENTRY, "entry-1")))
    process.feed(PlatformEvent.DocumentRead(null, sampleDocument(1, organisations).right()))
    process.feed(PlatformEvent.ConfigurationReadEnded(succeeded = true))
    process.feed(PlatformEvent.HostsRead(sampleHosts(endpoints)))
    repeat(endpoints) { process.feed(connected("agent-$it", it.toLong(), NodeRole.AGENT)) }
    process.feed(RuntimeEvent.TimerFired(TimerId.Startup))
    return process
}

/** An agent with a warm, idle engine and connections from [entries] entries. */
internal fun sampleAgent(entries: Int): SampleProcess {
    val common = commonState(NodeRole.AGENT, "agent-1")
    val process = SampleProcess(AgentState(common, ActionSecret("secret")))
    process.feed(PlatformEvent.DocumentRead(null, sampleDocument(1, organisations = 20).right()))
    process.feed(PlatformEvent.ConfigurationReadEnded(succeeded = true))
    repeat(entries) { process.feed(connected("entry-$it", it.toLong(), NodeRole.ENTRY)) }
    process.feed(RuntimeEvent.TimerFired(TimerId.EngineCheck))
    process.feed(EngineEvent.StateRead(idleEngine))
    process.feed(RuntimeEvent.TimerFired(TimerId.Startup))
    return process
}

internal fun sampleHosts(endpoints: Int): List<HostRecord> = List(endpoints) {
    HostRecord(
        HostId("agent-$it"),
        NodeRole.AGENT,
        RegionId("region-1"),
        DataCentreId("dc-${it % DATA_CENTRES}"),
        "10.0.0.1",
        1,
        PoolId("pool")
    )
}

internal fun sampleDocument(version: Long, organisations: Int): EncodedDocument = EncodedDocument(
    serviceDocument(version, organisations),
    DocumentDigest(version.toString(HEX_RADIX).padStart(DIGEST_HEX_DIGITS, '0')),
    DocumentContent(ByteArray(organisations * DOCUMENT_BYTES_PER_ORGANISATION))
)

internal val sampleSummary = EndpointSummary(
    engineMemory = Tokens(ENGINE_MEMORY_TOKENS),
    freeMemory = Tokens(ENGINE_MEMORY_TOKENS),
    warmShare = 1.0,
    runningStreams = 0,
    queued = 0,
    expectedWait = 5.milliseconds,
    accepting = true
)

private fun connected(host: String, connection: Long, role: NodeRole) = PeerEvent.Connected(
    HostId(host),
    ConnectionId(connection),
    IncarnationId("$host/1"),
    role,
    DataCentreId("dc-1")
)

private fun commonState(role: NodeRole, host: String) = CommonState(
    node = NodeIdentity(
        HostId(host),
        IncarnationId("$host/1"),
        role,
        RegionId("region-1"),
        DataCentreId("dc-1"),
        if (role == NodeRole.AGENT) PoolId("pool") else null
    ),
    timings = Timings(connectedEndpoints = Int.MAX_VALUE),
    policies = defaultPolicies
)

private val idleEngine = EngineState(
    incarnation = IncarnationId("engine/1"),
    memory = Tokens(ENGINE_MEMORY_TOKENS),
    usedMemory = Tokens.ZERO,
    streams = emptyMap(),
    handles = emptyMap(),
    loaded = EngineModel(ModelId("model"), null, "1"),
    highestFencing = FencingNumber(1)
)

private fun serviceDocument(version: Long, organisations: Int) = ServiceDocument(
    service = ServiceId("service"),
    version = DocumentVersion(version),
    kind = ServiceKind.GENERATION,
    withdrawn = false,
    pool = PoolId("pool"),
    model = EngineModel(ModelId("model"), null, "1"),
    promptLimit = Tokens(1_000_000),
    outputLimit = Tokens(4_096),
    deadline = DeadlineRule(30.seconds, 10.minutes),
    lengthClasses = listOf(
        LengthClass(
            LengthClassName("short"),
            Tokens(8_000),
            0.3,
            980.milliseconds,
            48.milliseconds,
            0.95,
            2.seconds
        ),
        LengthClass(
            LengthClassName("long"),
            Tokens(1_000_000),
            0.0,
            60.seconds,
            48.milliseconds,
            0.95,
            90.seconds
        )
    ),
    organisations = List(organisations) {
        OrganisationRule(OrganisationId("organisation-$it"), listOf("digest-$it"), 1, 100_000)
    },
    dataCentresOut = emptySet(),
    limits = LimitRule(100_000, 100_000, Bytes(Long.MAX_VALUE / 4)),
    ramp = RampRule(1.0, 1, 2.0, 1_000.0, 50.milliseconds, 100_000),
    retry = RetryRule(3, 0.2, 50.milliseconds, 1.seconds),
    group = GroupRule(4, 0.5, 2.seconds),
    actions = ActionRule(emptyList(), 1_000)
)

private const val ENGINE_MEMORY_TOKENS = 1_000_000_000L
private const val DATA_CENTRES = 16
private const val HEX_RADIX = 16
private const val DIGEST_HEX_DIGITS = 64
private const val DOCUMENT_BYTES_PER_ORGANISATION = 120
