package org.gypsumroute.agent

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens
import org.gypsumroute.wire.DataFrame

/**
 * The answer of one lease. It is kept until the lease is forgotten, so that an entry can read it
 * again on another connection.
 *
 * Chunks that the entry acknowledged are dropped, unless [retainAcknowledged] is set. It is set for
 * answers of plain services, because the answer of an action may be sent again for a later lease.
 */
internal class LeaseAnswer(private val lease: LeaseId, private val retainAcknowledged: Boolean) {
    private val chunks = ArrayDeque<DataFrame.AnswerChunk>()
    private var droppedChunks = 0
    private var endFrame: DataFrame.AnswerEnd? = null
    private val frameCount = MutableStateFlow(0)

    /** Appends a chunk; never waits for the entry. */
    @Synchronized
    fun add(bytes: ByteArray, tokens: Tokens) {
        if (endFrame != null) return
        chunks.add(DataFrame.AnswerChunk(lease, droppedChunks + chunks.size, tokens, bytes))
        frameCount.update { it + 1 }
    }

    /** Ends the answer; chunks added later are ignored. */
    @Synchronized
    fun finish(finishReason: String, status: Int, contentType: String) {
        if (endFrame != null) return
        endFrame = DataFrame.AnswerEnd(
            lease,
            droppedChunks + chunks.size,
            finishReason,
            status,
            contentType
        )
        frameCount.update { it + 1 }
    }

    /** Drops all chunks before [nextSequence], which the entry has received. */
    @Synchronized
    fun acknowledge(nextSequence: Int) {
        if (retainAcknowledged) return
        while (droppedChunks < nextSequence && chunks.isNotEmpty()) {
            chunks.removeFirst()
            droppedChunks++
        }
    }

    /** The chunk numbered [sequence], or the end frame after the last; suspends until it exists. */
    suspend fun awaitFrame(sequence: Int): DataFrame {
        frameCount.first { it > sequence }
        return frameAt(sequence)
    }

    /** The same answer under another lease; null if it has not ended. */
    @Synchronized
    fun copyForLease(other: LeaseId): LeaseAnswer? {
        val frame = endFrame ?: return null
        val copy = LeaseAnswer(other, retainAcknowledged = false)
        chunks.forEach { copy.add(it.bytes, it.tokens) }
        copy.finish(frame.finishReason, frame.status, frame.contentType)
        return copy
    }

    // An entry never requests a chunk that it acknowledged, so a dropped chunk is never looked up.
    @Synchronized
    private fun frameAt(sequence: Int): DataFrame = chunks.getOrNull(sequence - droppedChunks)
        ?: checkNotNull(endFrame) { "no frame $sequence of $lease" }
}
