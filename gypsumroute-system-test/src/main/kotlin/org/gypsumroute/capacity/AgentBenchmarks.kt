/*
 * Benchmarks of an agent's control thread: microseconds per operation and heap.
 */
package org.gypsumroute.capacity

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder

/** Microseconds per heartbeat from an entry while [leases] leases run. */
internal fun agentHeartbeat(leases: Int): Double {
    val agent = agentWithLeases(leases)
    val message = PeerMessage.Heartbeat(agent.state.common.documents.hash, null)
    return microsecondsPerCall { agent.feed(fromEntry(message)) }
}

/** Microseconds per lease, from its request to its release, while [leases] others run. */
internal fun leaseLifecycle(leases: Int): Double {
    val agent = agentWithLeases(leases)
    var number = leases
    return microsecondsPerCall {
        val lease = LeaseId("lease-${number++}")
        startLease(agent, lease)
        agent.feed(EngineEvent.StreamEnded(lease, Tokens(1)))
        agent.feed(fromEntry(PeerMessage.LeaseRelease(lease)))
    }
}

/** Microseconds per message that renews [leases] leases. */
internal fun renewal(leases: Int): Double {
    val agent = agentWithLeases(leases)
    val message = PeerMessage.LeaseRenewal(List(leases) { LeaseId("lease-$it") })
    return microsecondsPerCall { agent.feed(fromEntry(message)) }
}

/** Bytes of heap of an agent with [leases] running leases. */
internal fun heapOfLeases(leases: Int): Long = retainedBytes { agentWithLeases(leases) }

private fun agentWithLeases(leases: Int): SampleProcess {
    val agent = sampleAgent(entries = 8)
    repeat(leases) { startLease(agent, LeaseId("lease-$it")) }
    return agent
}

private fun startLease(agent: SampleProcess, lease: LeaseId) {
    agent.feed(fromEntry(PeerMessage.GrantRequest(workOrder(lease))))
    agent.feed(
        fromEntry(PeerMessage.Dispatch(lease, Bytes(8_000), Tokens(100), emptyList()))
    )
    agent.feed(EngineEvent.BodyReceived(lease))
    agent.feed(EngineEvent.FirstToken(lease, 10.milliseconds))
}

private fun workOrder(lease: LeaseId) = WorkOrder(
    lease = lease,
    request = RequestId(lease.value),
    service = ServiceId("service"),
    organisation = OrganisationId("organisation-0"),
    lengthClass = LengthClassName("short"),
    kind = WorkKind.GENERATION,
    promptTokens = Tokens(2_000),
    outputLimit = Tokens(100),
    remaining = 600.seconds
)

private fun fromEntry(message: PeerMessage) =
    PeerEvent.Received(HostId("entry-0"), ConnectionId(0), message)
