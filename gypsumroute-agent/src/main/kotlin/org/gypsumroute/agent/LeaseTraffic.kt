package org.gypsumroute.agent

import java.io.IOException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.gypsumroute.api.LeaseId
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection

/**
 * Traffic state of one lease: its body, its answer, the connection to the entry and the coroutine
 * that sends the answer. Safe for use by any thread.
 */
internal class LeaseTraffic(private val lease: LeaseId, private val scope: CoroutineScope) {
    val body = LeaseBody()

    @get:Synchronized
    var answer = LeaseAnswer(lease, retainAcknowledged = false)
        private set

    private var connection: PeerConnection? = null
    private var sender: Job? = null
    private var stopReading: () -> Unit = { }
    private var expected = false
    private var bodyReported = false

    /**
     * Whether the control thread accepted the lease's dispatch. Until then, frames are kept for a
     * limited time only.
     */
    @get:Synchronized
    val isBodyExpected: Boolean get() = expected

    /** Notes that the control thread accepted the lease's dispatch. */
    @Synchronized
    fun expectBody() {
        expected = true
    }

    /**
     * Returns true on the first call after the body is complete and the control thread expects it,
     * and false on all others, so that the body is reported only once.
     */
    @Synchronized
    fun claimBodyReport(): Boolean {
        if (bodyReported || !expected || !body.isComplete) return false
        bodyReported = true
        return true
    }

    /** Sets the connection on which the entry sends the body, as the one for the answer. */
    @Synchronized
    fun useConnection(newConnection: PeerConnection) {
        connection = newConnection
    }

    /** Replaces the answer before any of it is sent. */
    @Synchronized
    fun replaceAnswer(other: LeaseAnswer) {
        answer = other
        // If a resume request came early, its sender waits for frames of the replaced answer.
        if (sender != null) connection?.let { restartSender(it, 0) }
    }

    /**
     * Starts to send the answer, unless a sender was started before. Without a known connection,
     * [fallback] is used.
     */
    @Synchronized
    fun startSending(fallback: PeerConnection?) {
        if (sender == null) (connection ?: fallback)?.let { restartSender(it, 0) }
    }

    /** Sends the answer from chunk [nextSequence] on over [newConnection]; cancels any sender. */
    @Synchronized
    fun resume(newConnection: PeerConnection, nextSequence: Int) {
        connection = newConnection
        restartSender(newConnection, nextSequence)
    }

    /** Whether further output of the engine is ignored. */
    @get:Synchronized
    var isAbandoned = false
        private set

    /** Sets the function that stops reading from the engine; calls it now if already abandoned. */
    @Synchronized
    fun stopReadingWith(stop: () -> Unit) {
        if (isAbandoned) stop() else stopReading = stop
    }

    /** Stops reading from the engine; the engine's work is cancelled by a separate call. */
    @Synchronized
    fun abandon() {
        isAbandoned = true
        stopReading()
    }

    /** Stops sending to the entry and reading from the engine. */
    @Synchronized
    fun stop() {
        sender?.cancel()
        abandon()
    }

    private fun restartSender(target: PeerConnection, firstSequence: Int) {
        sender?.cancel()
        val answerToSend = answer
        sender = scope.launch { sendFrames(target, answerToSend, firstSequence) }
    }

    private suspend fun sendFrames(
        target: PeerConnection,
        answerToSend: LeaseAnswer,
        firstSequence: Int
    ) {
        var nextSequence = firstSequence
        try {
            do {
                val frame = answerToSend.awaitFrame(nextSequence++)
                target.sendData(frame)
            } while (frame !is DataFrame.AnswerEnd)
        } catch (closed: IOException) {
            // The entry reconnects and sends the number of the chunk from which to resume.
            return
        }
    }
}
