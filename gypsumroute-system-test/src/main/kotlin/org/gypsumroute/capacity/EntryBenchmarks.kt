/*
 * Benchmarks of an entry's control thread: microseconds per operation and heap.
 */
package org.gypsumroute.capacity

import arrow.core.right
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens

/** Microseconds per heartbeat timer, which covers the connections to all [endpoints] endpoints. */
internal fun heartbeatTick(endpoints: Int): Double {
    val entry = sampleEntry(endpoints)
    return microsecondsPerCall { entry.feed(RuntimeEvent.TimerFired(TimerId.Heartbeat)) }
}

/** Microseconds per heartbeat received from one of [endpoints] endpoints. */
internal fun heartbeatAnswer(endpoints: Int): Double {
    val entry = sampleEntry(endpoints)
    val hash = entry.state.common.documents.hash
    var number = 0
    return microsecondsPerCall {
        val endpoint = number++ % endpoints
        entry.feed(received(endpoint, PeerMessage.Heartbeat(hash, sampleSummary)))
    }
}

/** Microseconds per accepted new version of a document, with [endpoints] endpoints connected. */
internal fun documentAccepted(endpoints: Int): Double {
    val entry = sampleEntry(endpoints)
    var version = 1L
    return microsecondsPerCall {
        entry.feed(PlatformEvent.DocumentRead(null, sampleDocument(++version, 20).right()))
    }
}

/** Microseconds per host list read, with all [endpoints] endpoints already connected. */
internal fun hostListRead(endpoints: Int): Double {
    val entry = sampleEntry(endpoints)
    val hosts = PlatformEvent.HostsRead(sampleHosts(endpoints))
    return microsecondsPerCall { entry.feed(hosts) }
}

/** Microseconds per request, from its arrival to the end of its answer. */
internal fun requestLifecycle(endpoints: Int): Double {
    val entry = sampleEntry(endpoints)
    var number = 0
    return microsecondsPerCall {
        processRequest(entry, RequestId("request-${number++}"), finish = true)
    }
}

/** Bytes of heap of an entry's state with [requests] open requests. */
internal fun heapOfRequests(requests: Int): Long = retainedBytes {
    val entry = sampleEntry(endpoints = 64)
    repeat(requests) { processRequest(entry, RequestId("request-$it"), finish = false) }
    entry
}

/** Bytes of heap of an entry's state with [endpoints] connected endpoints. */
internal fun heapOfEndpoints(endpoints: Int): Long = retainedBytes { sampleEntry(endpoints) }

/** Bytes of heap of an entry's state whose document lists [organisations] organisations. */
internal fun heapOfOrganisations(organisations: Int): Long =
    retainedBytes { sampleEntry(endpoints = 64, organisations = organisations) }

private fun processRequest(entry: SampleProcess, request: RequestId, finish: Boolean) {
    entry.feed(CallerEvent.Opened(request, "digest-0", Bytes(BODY_BYTES)))
    val grant = entry.feed(arrival(request)).firstGrantRequest()
    val lease = grant.second.order.lease
    val endpoint = grant.first.value.toInt()
    entry.feed(received(endpoint, PeerMessage.GrantIssued(lease, 5.seconds, sampleSummary)))
    if (!finish) return
    entry.feed(AnswerEvent.FirstToken(request, lease))
    entry.feed(AnswerEvent.Completed(request, lease, Tokens(1), Bytes(1)))
    entry.feed(CallerEvent.AnswerTaken(request))
}

private fun arrival(request: RequestId) = CallerEvent.GenerationArrived(
    request,
    ServiceId("service"),
    "digest-0",
    Tokens(BODY_BYTES / 4),
    Bytes(BODY_BYTES),
    Tokens(100),
    30.seconds,
    PrefixDigest(request.hashCode().toLong())
)

private fun List<Effect>.firstGrantRequest(): Pair<ConnectionId, PeerMessage.GrantRequest> =
    firstNotNullOf { effect ->
        val message = (effect as? PeerEffect.Send)?.message as? PeerMessage.GrantRequest
        message?.let { effect.connection to it }
    }

private fun received(endpoint: Int, message: PeerMessage) =
    PeerEvent.Received(HostId("agent-$endpoint"), ConnectionId(endpoint.toLong()), message)

private const val BODY_BYTES = 8_000L
