package org.gypsumroute.agent

import org.gypsumroute.wire.DataFrame

/** The body of one lease, put together from frames that may arrive twice. */
internal class LeaseBody {
    private val parts = ArrayList<ByteArray?>()
    private var missing = 0
    private var count: Int? = null

    /** Whether all parts arrived; stays true after [release]. */
    @get:Synchronized
    var isComplete = false
        private set

    /** Adds a part; returns true if it was the last one missing. */
    @Synchronized
    fun accept(chunk: DataFrame.PromptChunk): Boolean {
        if (isComplete || chunk.sequence !in 0 until LARGEST_COUNT) return false
        while (parts.size <= chunk.sequence) {
            parts.add(null)
            missing++
        }
        if (parts[chunk.sequence] == null) {
            parts[chunk.sequence] = chunk.bytes
            missing--
        }
        if (chunk.last) count = chunk.sequence + 1
        isComplete = count == parts.size && missing == 0
        return isComplete
    }

    /** The whole body as parts that follow each other; empty before it is complete. */
    @Synchronized
    fun parts(): List<ByteArray> = if (isComplete) parts.filterNotNull() else emptyList()

    /** Frees the bytes once they are with the engine. */
    @Synchronized
    fun release() {
        if (isComplete) parts.clear()
    }

    private companion object {
        // 128 MiB at the entry's 32 KiB a frame; bounds what a faulty peer can make this hold.
        const val LARGEST_COUNT = 4096
    }
}
