/*
 * Bodies and answers of all leases, as the threads that receive frames and call the engine share
 * them.
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
 * Frames may arrive before the control thread has seen their `Dispatch`. They are kept for
 * [unexpectedTime] and dropped if no dispatch is accepted by then.
 */
internal class Leases(
    private val scope: CoroutineScope,
    private val events: EventSink,
    private val unexpectedTime: Duration,
    private val connectionTo: (HostId) -> PeerConnection?
) {
    private val works = ConcurrentHashMap<LeaseId, LeaseWork>()

    /** Leases held now. */
    val size: Int get() = works.size

    /** The work of a lease that is expected or has frames; null if it was forgotten. */
    fun find(lease: LeaseId): LeaseWork? = works[lease]

    /** Begins to expect a lease's body. */
    fun expect(lease: LeaseId): LeaseWork {
        val work = works.computeIfAbsent(lease) { LeaseWork(it, scope) }
        work.expect()
        reportBody(lease, work)
        return work
    }

    /** Takes a frame from an entry. */
    fun receive(connection: PeerConnection, frame: DataFrame) {
        when (frame) {
            is DataFrame.PromptChunk -> {
                val work = workFor(frame.lease)
                work.reachedOn(connection)
                if (work.body.accept(frame)) reportBody(frame.lease, work)
            }

            is DataFrame.AnswerResume -> workFor(frame.lease).resume(connection, frame.nextSequence)

            is DataFrame.AnswerAcknowledge -> find(
                frame.lease
            )?.answer?.acknowledge(frame.nextSequence)

            is DataFrame.AnswerChunk, is DataFrame.AnswerEnd -> Unit
        }
    }

    /** Starts to send the answer of a lease to the entry that holds it. */
    fun startSending(lease: LeaseId) {
        find(lease)?.startSending(connectionTo(entryOf(lease)))
    }

    /** Frees everything of a lease. */
    fun forget(lease: LeaseId) {
        works.remove(lease)?.stop()
    }

    private fun reportBody(lease: LeaseId, work: LeaseWork) {
        if (work.takeBodyReport()) events(EngineEvent.BodyReceived(lease))
    }

    private fun workFor(lease: LeaseId): LeaseWork {
        works[lease]?.let { return it }
        val created = LeaseWork(lease, scope)
        val present = works.putIfAbsent(lease, created) ?: created
        if (present === created) dropUnexpected(lease, created)
        return present
    }

    private fun dropUnexpected(lease: LeaseId, work: LeaseWork) = scope.launch {
        delay(unexpectedTime)
        if (!work.isExpected && works.remove(lease, work)) work.stop()
    }

    // Lease ids have the form host/incarnation/counter.
    private fun entryOf(lease: LeaseId) =
        HostId(lease.value.substringBeforeLast('/').substringBeforeLast('/'))
}
