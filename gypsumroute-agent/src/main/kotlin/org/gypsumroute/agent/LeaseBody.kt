package org.gypsumroute.agent

import org.gypsumroute.wire.DataFrame

/** The body of one lease, assembled from frames that may arrive twice and in any order. */
internal class LeaseBody {
    private val parts = ArrayList<ByteArray?>()
    private var missingParts = 0
    private var totalParts: Int? = null

    /** Whether all parts arrived; stays true after [release]. */
    @get:Synchronized
    var isComplete = false
        private set

    /** Adds a part; returns true if this made the body complete. */
    @Synchronized
    fun accept(chunk: DataFrame.PromptChunk): Boolean {
        if (isComplete || chunk.sequence !in 0 until MAX_PARTS) return false
        while (parts.size <= chunk.sequence) {
            parts.add(null)
            missingParts++
        }
        if (parts[chunk.sequence] == null) {
            parts[chunk.sequence] = chunk.bytes
            missingParts--
        }
        if (chunk.last) totalParts = chunk.sequence + 1
        isComplete = totalParts == parts.size && missingParts == 0
        return isComplete
    }

    /** The parts of the body in order; empty before it is complete and after [release]. */
    @Synchronized
    fun parts(): List<ByteArray> = if (isComplete) parts.filterNotNull() else emptyList()

    /** Frees the bytes once the engine or plain service has received them. */
    @Synchronized
    fun release() {
        if (isComplete) parts.clear()
    }

    private companion object {
        // Bounds the memory that a faulty peer can make an agent allocate: 128 MiB, as entries send
        // frames of 32 KiB.
        const val MAX_PARTS = 4096
    }
}
