/*
 * Bodies and answers of all leases, shared by the threads that receive frames and those that call
 * the engine or plain service.
 */
package org.gypsumroute.agent

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.runtime.EventSink
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection

/**
 * Registry of leases; safe for use by any thread.
 *
 * Frames may arrive before the control thread has handled the `Dispatch` of their lease. They are
 * kept for [unexpectedFrameRetention] and dropped if no dispatch is accepted by then.
 */
internal class Leases(
    private val scope: CoroutineScope,
    private val events: EventSink,
    private val unexpectedFrameRetention: Duration,
    private val connectionTo: (HostId) -> PeerConnection?
) {
    private val byLease = ConcurrentHashMap<LeaseId, LeaseTraffic>()

    /** Number of leases in the registry. */
    val size: Int get() = byLease.size

    /** The traffic of a lease; null if it is unknown or was forgotten. */
    fun find(lease: LeaseId): LeaseTraffic? = byLease[lease]

    /** Registers a lease whose dispatch was accepted; its body is reported once it is complete. */
    fun expectBody(lease: LeaseId): LeaseTraffic {
        val traffic = byLease.computeIfAbsent(lease) { LeaseTraffic(it, scope) }
        traffic.expectBody()
        reportCompleteBody(lease, traffic)
        return traffic
    }

    /** Receives a frame from an entry. */
    fun receive(connection: PeerConnection, frame: DataFrame) {
        when (frame) {
            is DataFrame.PromptChunk -> {
                val traffic = findOrCreate(frame.lease)
                traffic.useConnection(connection)
                if (traffic.body.accept(frame)) reportCompleteBody(frame.lease, traffic)
            }

            is DataFrame.AnswerResume ->
                findOrCreate(frame.lease).resume(connection, frame.nextSequence)

            is DataFrame.AnswerAcknowledge ->
                find(frame.lease)?.answer?.acknowledge(frame.nextSequence)

            is DataFrame.AnswerChunk, is DataFrame.AnswerEnd -> Unit
        }
    }

    /** Starts to send the answer of a lease to the entry that holds the lease. */
    fun startSending(lease: LeaseId) {
        find(lease)?.startSending(connectionTo(entryOf(lease)))
    }

    /** Stops all traffic of a lease and frees its body and answer. */
    fun forget(lease: LeaseId) {
        byLease.remove(lease)?.stop()
    }

    private fun reportCompleteBody(lease: LeaseId, traffic: LeaseTraffic) {
        if (traffic.claimBodyReport()) events(EngineEvent.BodyReceived(lease))
    }

    private fun findOrCreate(lease: LeaseId): LeaseTraffic {
        byLease[lease]?.let { return it }
        val created = LeaseTraffic(lease, scope)
        val registered = byLease.putIfAbsent(lease, created) ?: created
        if (registered === created) dropIfStillUnexpected(lease, created)
        return registered
    }

    private fun dropIfStillUnexpected(lease: LeaseId, traffic: LeaseTraffic) = scope.launch {
        delay(unexpectedFrameRetention)
        if (!traffic.isBodyExpected && byLease.remove(lease, traffic)) traffic.stop()
    }

    // Lease ids have the form host/incarnation/counter.
    private fun entryOf(lease: LeaseId) =
        HostId(lease.value.substringBeforeLast('/').substringBeforeLast('/'))
}
