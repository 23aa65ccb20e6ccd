/*
 * Puts a request's answer together between the threads that receive it and the one that writes it.
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
 * The answer of one request. Chunks may arrive late, twice or out of order, and only those of the
 * current lease count. One writer takes the bytes in order; it suspends while there are none.
 *
 * The text stays here until the request is forgotten, since another endpoint continues from it.
 * Events count the tokens of the current lease alone.
 */
internal class AnswerBuffer(private val request: RequestId, private val events: EventSink) {
    private val text = TextStore()
    private val early = TreeMap<Int, DataFrame.AnswerChunk>()
    private val arrival = Channel<Unit>(Channel.CONFLATED)
    private var lease: LeaseId? = null
    private var leaseStart = 0
    private var next = 0
    private var end: DataFrame.AnswerEnd? = null
    private var limit: Tokens? = null
    private var tokens = 0L
    private var leaseTokens = 0L
    private var taken = 0
    private var reportedStep = 0
    private var reportedHeld = 0
    private var failure: Failure? = null

    /** Takes the answer of [newLease] from now on; its chunks continue the text held so far. */
    @Synchronized
    fun follow(newLease: LeaseId) {
        if (lease == newLease || isComplete()) return
        lease = newLease
        leaseStart = text.size
        next = 0
        leaseTokens = 0
        end = null
        early.clear()
    }

    /**
     * Ends an answer that continues on another endpoint after [outputLimit] tokens in all. The
     * endpoint may generate more, since it was told the count at the last mark before the move.
     */
    @Synchronized
    fun limitTo(outputLimit: Tokens) {
        val before = isComplete()
        limit = outputLimit
        if (endAtLimit() && !before && failure == null) {
            reportCompletion()
            arrival.trySend(Unit)
        }
    }

    /** Adds a chunk. Returns the next sequence number wanted if it should be acknowledged. */
    @Synchronized
    fun accept(chunk: DataFrame.AnswerChunk): Int? {
        val wanted = chunk.lease == lease && failure == null && chunk.sequence >= next &&
            !isComplete()
        if (!wanted || early.putIfAbsent(chunk.sequence, chunk) != null) return null
        val before = next
        while (!endAtLimit()) append(early.remove(next) ?: break)
        if (next == before) return null
        if (before == 0) events(AnswerEvent.FirstToken(request, chunk.lease))
        val marked = before / CHUNKS_PER_MARK != next / CHUNKS_PER_MARK
        reportProgress(chunk.lease, marked)
        reportCompletion()
        arrival.trySend(Unit)
        return next.takeIf { marked }
    }

    /** Adds the end mark. */
    @Synchronized
    fun accept(mark: DataFrame.AnswerEnd) {
        if (mark.lease != lease || failure != null || end != null) return
        end = mark
        reportCompletion()
        arrival.trySend(Unit)
    }

    /** Ends the answer with an error and drops the bytes held; nothing changes if it is whole. */
    @Synchronized
    fun fail(cause: Failure) {
        if (failure != null) return
        failure = cause
        text.clear()
        early.clear()
        taken = 0
        arrival.trySend(Unit)
    }

    /** The sequence number of the first chunk missing from [wanted]'s answer; null if stale. */
    @Synchronized
    fun nextSequence(wanted: LeaseId): Int? = next.takeIf { lease == wanted }

    /** The text that [wanted]'s answer continues. */
    @Synchronized
    fun textBefore(wanted: LeaseId): ByteArray =
        if (lease == wanted) text.copyOfRange(0, leaseStart) else ByteArray(0)

    /** Whether the end mark and all chunks arrived. */
    @get:Synchronized
    val isWhole: Boolean get() = isComplete()

    @Synchronized
    fun heldBytes(): Bytes = Bytes((text.size - taken).toLong())

    /** The next portion that was not taken before, or null if none has arrived. */
    @Synchronized
    fun tryTake(): AnswerPortion? {
        failure?.let { return AnswerPortion.Failed(it) }
        if (taken < text.size) return takeText()
        val mark = end
        return if (mark != null && isComplete()) {
            AnswerPortion.End(mark, Tokens(tokens))
        } else {
            null
        }
    }

    /** The next portion; suspends until there is one. Only one coroutine may call this. */
    suspend fun take(): AnswerPortion {
        while (true) {
            tryTake()?.let { return it }
            arrival.receive()
        }
    }

    private fun append(chunk: DataFrame.AnswerChunk) {
        text.append(chunk.bytes)
        tokens += chunk.tokens.count
        leaseTokens += chunk.tokens.count
        next++
    }

    private fun endAtLimit(): Boolean {
        val current = lease ?: return false
        val reached = limit?.let { tokens >= it.count } ?: false
        if (leaseStart == 0 || !reached) return false
        if (!isComplete()) end = DataFrame.AnswerEnd(current, next, "length", STATUS_OK, TEXT_TYPE)
        return true
    }

    private fun takeText(): AnswerPortion.Text {
        val limit = minOf(text.size, taken + LARGEST_PORTION)
        val to = text.characterEnd(taken, limit)
        val bytes = text.copyOfRange(taken, to)
        taken = to
        lease?.let { reportProgress(it, marked = false) }
        return AnswerPortion.Text(bytes)
    }

    private fun isComplete(): Boolean = end?.chunks == next

    private fun reportCompletion() {
        val current = lease ?: return
        if (!isComplete()) return
        reportedHeld = text.size - taken
        events(AnswerEvent.Completed(request, current, Tokens(leaseTokens), heldBytes()))
    }

    private fun reportProgress(current: LeaseId, marked: Boolean) {
        val held = text.size - taken
        val step = held / BYTES_PER_STEP
        // The reducer must learn that a caller caught up, or it counts the caller as stalled.
        val caughtUp = held == 0 && reportedHeld > 0
        if (!marked && step == reportedStep && !caughtUp) return
        reportedStep = step
        reportedHeld = held
        events(AnswerEvent.Progress(request, current, Tokens(leaseTokens), heldBytes()))
    }

    private companion object {
        // Marks are rare compared to chunks, since each costs the control thread one event.
        const val CHUNKS_PER_MARK = 32
        const val BYTES_PER_STEP = 65_536
        const val STATUS_OK = 200
        const val TEXT_TYPE = "text/plain"
        const val LARGEST_PORTION = 65_536
    }
}
