/*
 * What a request asks of an engine, and what its answer is worth.
 */
package org.gypsumroute.core.gateway

import org.gypsumroute.api.RequestHead

/**
 * Tokens that a request makes an engine read and, as far as can be told, write. [value] compares
 * requests with each other: an answer is worth the more the more tokens it takes.
 */
data class RequestSize(val prompt: Long, val output: Long) {
    /** Tokens held at the end. */
    val context: Long get() = prompt + output

    /** Worth of the whole answer in time; a plain call is worth 1. */
    val value: Double get() = 1 + (prompt + OUTPUT_TOKEN_WEIGHT * output) / TOKENS_PER_VALUE_UNIT

    companion object {
        /** A token to write takes about as much of an engine as ten to read. */
        private const val OUTPUT_TOKEN_WEIGHT = 10
        private const val TOKENS_PER_VALUE_UNIT = 16_000.0

        /** The size that the caller states; [typicalOutput] stands in for an answer's length. */
        fun of(head: RequestHead, typicalOutput: Long): RequestSize {
            val limit = head.outputLimit?.count ?: Long.MAX_VALUE
            val expected = head.expectedOutput?.count ?: typicalOutput
            return RequestSize(head.promptTokens?.count ?: 0, minOf(expected, limit))
        }
    }
}
