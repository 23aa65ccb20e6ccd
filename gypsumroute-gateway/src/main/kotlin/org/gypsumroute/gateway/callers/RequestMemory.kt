package org.gypsumroute.gateway.callers

/**
 * Memory budgets of callers' requests and of the answers that callers have not read, as shares of
 * the [heapBytes] that the process may use.
 */
internal class RequestMemory(heapBytes: Long) {
    /** Heads of the requests that are being received or served. */
    val heads = RequestMemoryBudget(heapBytes / HEAD_SHARE, ORDINARY_HEAD_BYTES)

    /** Bodies of the same requests, and what is pipelined behind them. */
    val bodies = RequestMemoryBudget(heapBytes / BODY_SHARE)

    /** Size of all answers that are kept until they are complete. */
    val maxAnswerBytes: Long = heapBytes / ANSWER_SHARE

    /** Size of all unsent answers above which endpoints are read from more slowly. */
    val slowUnsentBytes: Long = heapBytes / SLOW_UNSENT_SHARE

    /** Size of all unsent answers above which connections of slow readers are closed. */
    val maxUnsentBytes: Long = heapBytes / MAX_UNSENT_SHARE

    private companion object {
        const val HEAD_SHARE = 8
        const val BODY_SHARE = 4

        /** Buffers of answers take up to twice as much while they grow. */
        const val ANSWER_SHARE = 8
        const val SLOW_UNSENT_SHARE = 8
        const val MAX_UNSENT_SHARE = 4

        /** Heads of usual clients are smaller, those with large cookies or tokens included. */
        const val ORDINARY_HEAD_BYTES = 4096L
    }
}
