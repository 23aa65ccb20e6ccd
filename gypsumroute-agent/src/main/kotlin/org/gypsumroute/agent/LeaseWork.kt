package org.gypsumroute.agent

import java.io.IOException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.gypsumroute.api.LeaseId
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection

/** What the traffic threads hold of one lease: body, answer, and who sends the answer where. */
internal class LeaseWork(private val lease: LeaseId, private val scope: CoroutineScope) {
    val body = LeaseBody()

    @get:Synchronized
    var answer = LeaseAnswer(lease, keptWhole = false)
        private set

    private var connection: PeerConnection? = null
    private var sender: Job? = null
    private var stopReading: () -> Unit = { }
    private var expected = false
    private var bodyReported = false

    /** The control thread knows the lease; until then frames are only kept for a while. */
    @get:Synchronized
    val isExpected: Boolean get() = expected

    @Synchronized
    fun expect() {
        expected = true
    }

    /** True once: when the whole body is here and the control thread expects it. */
    @Synchronized
    fun takeBodyReport(): Boolean {
        if (bodyReported || !expected || !body.isComplete) return false
        bodyReported = true
        return true
    }

    /** Notes on which connection the entry sends the body. */
    @Synchronized
    fun reachedOn(current: PeerConnection) {
        connection = current
    }

    /** Replaces the answer before any of it is sent. */
    @Synchronized
    fun replaceAnswer(other: LeaseAnswer) {
        answer = other
        // A sender that an early resume request started waits on the empty answer.
        if (sender != null) connection?.let { send(it, 0) }
    }

    /** Starts to send the answer, unless a sender was started before. */
    @Synchronized
    fun startSending(fallback: PeerConnection?) {
        if (sender == null) (connection ?: fallback)?.let { send(it, 0) }
    }

    /** Sends the answer from [next] on over [current], in place of any earlier connection. */
    @Synchronized
    fun resume(current: PeerConnection, next: Int) {
        connection = current
        send(current, next)
    }

    /** Whether nobody wants what the engine still delivers. */
    @get:Synchronized
    var isAbandoned = false
        private set

    /** Remembers how to stop reading from the engine. */
    @Synchronized
    fun reads(stop: () -> Unit) {
        if (isAbandoned) stop() else stopReading = stop
    }

    /** Stops reading from the engine; cancelling its work is an order of its own. */
    @Synchronized
    fun abandon() {
        isAbandoned = true
        stopReading()
    }

    /** Stops sending and reading. */
    @Synchronized
    fun stop() {
        sender?.cancel()
        abandon()
    }

    private fun send(target: PeerConnection, from: Int) {
        sender?.cancel()
        val sent = answer
        sender = scope.launch { sendFrames(target, sent, from) }
    }

    private suspend fun sendFrames(target: PeerConnection, sent: LeaseAnswer, from: Int) {
        var next = from
        try {
            do {
                val frame = sent.frame(next++)
                target.sendData(frame)
            } while (frame !is DataFrame.AnswerEnd)
        } catch (closed: IOException) {
            // The entry resumes on a fresh connection with the number it wants next.
            return
        }
    }
}
