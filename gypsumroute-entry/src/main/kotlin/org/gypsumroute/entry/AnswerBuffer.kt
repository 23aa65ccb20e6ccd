/*
 * Assembles the answer of a request from the frames that several threads receive, for the coroutine
 * that writes it to the caller.
 */
package org.gypsumroute.entry

import java.util.TreeMap
import kotlinx.coroutines.channels.Channel
import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.Failure
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Tokens
import org.gypsumroute.runtime.EventSink
import org.gypsumroute.wire.DataFrame

/**
 * The answer of one request; safe for use by several threads. Chunks may arrive late, twice or out
 * of order; those of any lease but the current one are ignored. One writer takes the bytes in
 * order and suspends while there are none.
 *
 * The whole text is kept until the request ends, also what the writer has taken: if the answer
 * continues on another endpoint, that endpoint needs the text as its input. The events reported
 * count only the tokens of the current lease.
 */
internal class AnswerBuffer(private val request: RequestId, private val events: EventSink) {
    private val text = AppendOnlyByteBuffer()
    private val outOfOrderChunks = TreeMap<Int, DataFrame.AnswerChunk>()
    private val portionAvailable = Channel<Unit>(Channel.CONFLATED)
    private var currentLease: LeaseId? = null
    private var leaseStartOffset = 0
    private var firstMissingSequence = 0
    private var endFrame: DataFrame.AnswerEnd? = null
    private var tokenLimit: Tokens? = null
    private var totalTokens = 0L
    private var leaseTokens = 0L
    private var takenBytes = 0
    private var reportedHeldSteps = 0
    private var reportedHeldBytes = 0
    private var failure: Failure? = null

    /**
     * Accepts only chunks of [newLease] from now on; they continue the text received so far. Does
     * nothing if the answer is complete.
     */
    @Synchronized
    fun switchToLease(newLease: LeaseId) {
        if (currentLease == newLease || isComplete()) return
        currentLease = newLease
        leaseStartOffset = text.size
        firstMissingSequence = 0
        leaseTokens = 0
        endFrame = null
        outOfOrderChunks.clear()
    }

    /**
     * Ends an answer that continues on another endpoint once all leases together delivered
     * [outputLimit] tokens. The endpoint may generate more, because its own limit was computed from
     * the token count of the last progress event, which may lag behind the text received.
     */
    @Synchronized
    fun limitOutput(outputLimit: Tokens) {
        val wasComplete = isComplete()
        tokenLimit = outputLimit
        if (endIfLimitReached() && !wasComplete && failure == null) {
            reportCompletion()
            portionAvailable.trySend(Unit)
        }
    }

    /**
     * Adds a chunk. If an acknowledgement is due, returns the sequence number up to which
     * (exclusive) all chunks have arrived; otherwise null.
     */
    @Synchronized
    fun accept(chunk: DataFrame.AnswerChunk): Int? {
        val isNeeded =
            chunk.lease == currentLease && failure == null &&
                chunk.sequence >= firstMissingSequence && !isComplete()
        if (!isNeeded || outOfOrderChunks.putIfAbsent(chunk.sequence, chunk) != null) return null
        val previousSequence = firstMissingSequence
        while (!endIfLimitReached()) append(outOfOrderChunks.remove(firstMissingSequence) ?: break)
        if (firstMissingSequence == previousSequence) return null
        if (previousSequence == 0) events(AnswerEvent.FirstToken(request, chunk.lease))
        val reportDue =
            previousSequence / CHUNKS_PER_REPORT != firstMissingSequence / CHUNKS_PER_REPORT
        reportProgress(chunk.lease, reportDue)
        reportCompletion()
        portionAvailable.trySend(Unit)
        return firstMissingSequence.takeIf { reportDue }
    }

    /** Adds the frame that marks the end of the answer; chunks before it may still be missing. */
    @Synchronized
    fun accept(frame: DataFrame.AnswerEnd) {
        if (frame.lease != currentLease || failure != null || endFrame != null) return
        endFrame = frame
        reportCompletion()
        portionAvailable.trySend(Unit)
    }

    /**
     * Ends the answer with an error and drops the bytes held, also if the answer is complete but
     * not yet written out. Later failures are ignored.
     */
    @Synchronized
    fun fail(cause: Failure) {
        if (failure != null) return
        failure = cause
        text.clear()
        outOfOrderChunks.clear()
        takenBytes = 0
        portionAvailable.trySend(Unit)
    }

    /**
     * The sequence number of the first missing chunk of [lease]'s answer; null if [lease] is not
     * the current lease.
     */
    @Synchronized
    fun nextSequence(lease: LeaseId): Int? = firstMissingSequence.takeIf { currentLease == lease }

    /** The text of earlier leases, which [lease] continues; empty if it isn't the current lease. */
    @Synchronized
    fun textBefore(lease: LeaseId): ByteArray =
        if (currentLease == lease) text.copyOfRange(0, leaseStartOffset) else ByteArray(0)

    /** Whether the end frame and all chunks arrived. */
    @get:Synchronized
    val isFullyReceived: Boolean get() = isComplete()

    /** Bytes received that the writer has not taken. */
    @Synchronized
    fun heldBytes(): Bytes = Bytes((text.size - takenBytes).toLong())

    /** The next portion that was not taken before, or null if none has arrived. */
    @Synchronized
    fun tryTake(): AnswerPortion? {
        failure?.let { return AnswerPortion.Failed(it) }
        if (takenBytes < text.size) return takeText()
        val frame = endFrame
        return if (frame != null && isComplete()) {
            AnswerPortion.End(frame, Tokens(totalTokens))
        } else {
            null
        }
    }

    /** The next portion; suspends until there is one. Only one coroutine may call this. */
    suspend fun take(): AnswerPortion {
        while (true) {
            tryTake()?.let { return it }
            portionAvailable.receive()
        }
    }

    private fun append(chunk: DataFrame.AnswerChunk) {
        text.append(chunk.bytes)
        totalTokens += chunk.tokens.count
        leaseTokens += chunk.tokens.count
        firstMissingSequence++
    }

    private fun endIfLimitReached(): Boolean {
        val lease = currentLease ?: return false
        val reached = tokenLimit?.let { totalTokens >= it.count } ?: false
        if (leaseStartOffset == 0 || !reached) return false
        if (!isComplete()) {
            endFrame =
                DataFrame.AnswerEnd(lease, firstMissingSequence, "length", STATUS_OK, TEXT_TYPE)
        }
        return true
    }

    private fun takeText(): AnswerPortion.Text {
        val maxEnd = minOf(text.size, takenBytes + MAX_PORTION_BYTES)
        val to = text.lastCharacterBoundary(takenBytes, maxEnd)
        val bytes = text.copyOfRange(takenBytes, to)
        takenBytes = to
        currentLease?.let { reportProgress(it, always = false) }
        return AnswerPortion.Text(bytes)
    }

    private fun isComplete(): Boolean = endFrame?.chunks == firstMissingSequence

    private fun reportCompletion() {
        val lease = currentLease ?: return
        if (!isComplete()) return
        reportedHeldBytes = text.size - takenBytes
        events(AnswerEvent.Completed(request, lease, Tokens(leaseTokens), heldBytes()))
    }

    private fun reportProgress(lease: LeaseId, always: Boolean) {
        val held = text.size - takenBytes
        val steps = held / HELD_BYTES_PER_REPORT
        // Without an event at zero, the reducer would count a caller that caught up as stalled.
        val caughtUp = held == 0 && reportedHeldBytes > 0
        if (!always && steps == reportedHeldSteps && !caughtUp) return
        reportedHeldSteps = steps
        reportedHeldBytes = held
        events(AnswerEvent.Progress(request, lease, Tokens(leaseTokens), heldBytes()))
    }

    private companion object {
        // Progress events and acknowledgements are rare compared to chunks, since each event takes
        // time of the control thread.
        const val CHUNKS_PER_REPORT = 32
        const val HELD_BYTES_PER_REPORT = 65_536
        const val STATUS_OK = 200
        const val TEXT_TYPE = "text/plain"
        const val MAX_PORTION_BYTES = 65_536
    }
}
