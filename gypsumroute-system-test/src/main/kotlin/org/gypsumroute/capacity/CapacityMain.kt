/*
 * Measures the slopes from which docs/CAPACITY.md is worked out. Run by `bin/capacity`.
 */
package org.gypsumroute.capacity

import java.util.Locale
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DocumentDigest
import org.gypsumroute.api.DocumentStamp
import org.gypsumroute.api.DocumentVersion
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder
import org.gypsumroute.wire.encodedFrameBytes

/** Prints every slope as a row of a Markdown table. */
object CapacityMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        println("| cost | ${sizes.joinToString(" | ")} | base | per unit |")
        println("| --- | ${sizes.joinToString(" | ") { "---" }} | --- | --- |")
        row("entry: heartbeat tick, µs, by endpoints", ::heartbeatTick)
        row("entry: heartbeat answer, µs, by endpoints", ::heartbeatAnswer)
        row("entry: document accepted, µs, by endpoints", ::documentAccepted)
        row("entry: host list, µs, by hosts", ::hostList)
        row("entry: whole request, µs, by endpoints", ::wholeRequest)
        row("agent: heartbeat, µs, by leases", ::agentHeartbeat)
        row("agent: whole lease, µs, by leases", ::wholeLease)
        row("agent: renewal, µs, by leases", ::renewal)
        row("entry: heap, bytes, by endpoints") { heapOfEndpoints(it).toDouble() }
        row("entry: heap, bytes, by open requests") { heapOfRequests(it).toDouble() }
        row("entry: heap, bytes, by organisations") { heapOfOrganisations(it).toDouble() }
        row("agent: heap, bytes, by leases") { heapOfLeases(it).toDouble() }
        row("gateway: short request, µs, by engines", ::forwardedShort)
        row("gateway: long request, µs, by engines", ::forwardedLong)
        row("gateway: report taken in, µs, by engines with work", ::reportTaken)
        row("gateway: report, bytes, by engines with work", ::reportBytes)
        row("gateway: heap, bytes, by engines") { heapOfEngines(it).toDouble() }
        row("gateway: heap, bytes, by open requests") { heapOfForwarded(it).toDouble() }
        println()
        println("| message | bytes |")
        println("| --- | --- |")
        for ((name, message) in messages) println("| $name | ${encodedFrameBytes(message)} |")
    }

    private fun row(name: String, measure: (Int) -> Double) {
        val samples = sizes.map { Sample(it, measure(it)) }
        val line = fitLine(samples)
        val values = samples.joinToString(" | ") { format(it.value) }
        println("| $name | $values | ${format(line.base)} | ${format(line.slope)} |")
    }

    private fun format(value: Double) = String.format(Locale.ROOT, "%.3f", value)

    private val sizes = listOf(30, 300, 3_000)

    private val lease = LeaseId("entry-100/0123456789abcdef/123456")

    private val messages: List<Pair<String, PeerMessage>> = listOf(
        "heartbeat of an entry" to PeerMessage.Heartbeat(Long.MAX_VALUE, null),
        "heartbeat of an agent" to PeerMessage.Heartbeat(Long.MAX_VALUE, sampleSummary),
        "grant request" to PeerMessage.GrantRequest(
            WorkOrder(
                lease = lease,
                request = RequestId(lease.value),
                service = ServiceId("reader-models"),
                organisation = OrganisationId("organisation-100"),
                lengthClass = LengthClassName("short"),
                kind = WorkKind.GENERATION,
                promptTokens = Tokens(2_000),
                outputLimit = Tokens(100),
                remaining = 30.seconds,
                prefix = PrefixDigest(Long.MAX_VALUE)
            )
        ),
        "grant" to PeerMessage.GrantIssued(lease, 5.seconds, sampleSummary),
        "dispatch" to PeerMessage.Dispatch(lease, Bytes(8_000), Tokens(100), emptyList()),
        "renewal of one lease" to PeerMessage.LeaseRenewal(listOf(lease)),
        "renewal of two leases" to PeerMessage.LeaseRenewal(listOf(lease, lease)),
        "release" to PeerMessage.LeaseRelease(lease),
        "stamp of one document" to PeerMessage.DocumentVersions(
            mapOf(
                ServiceId("reader-models") to
                    DocumentStamp(
                        DocumentVersion(1_000),
                        DocumentDigest("0123456789abcdef".repeat(4))
                    )
            )
        ),
        "queued" to PeerMessage.GrantQueued(lease, 100.milliseconds)
    )
}
