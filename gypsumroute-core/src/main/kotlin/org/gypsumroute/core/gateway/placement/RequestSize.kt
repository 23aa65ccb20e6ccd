/*
 * The work that a request causes on an engine, and the value of its answer.
 */
package org.gypsumroute.core.gateway.placement

import org.gypsumroute.api.RequestHead

/**
 * Tokens of a request's prompt and the expected tokens of its answer. [value] weighs requests
 * against each other; it grows with the tokens that an answer takes.
 */
data class RequestSize(val prompt: Long, val output: Long) {
    /** Tokens that the request holds in memory at its end. */
    val context: Long get() = prompt + output

    /** Value of a complete answer in time; a call without tokens has the value 1. */
    val value: Double get() = 1 + (prompt + OUTPUT_TOKEN_WEIGHT * output) / TOKENS_PER_VALUE_UNIT

    companion object {
        /** Decoding a token takes about as much of an engine's time as reading ten. */
        private const val OUTPUT_TOKEN_WEIGHT = 10
        private const val TOKENS_PER_VALUE_UNIT = 16_000.0

        /**
         * The size according to the caller's statements; [typicalOutput] is used if the caller
         * states no expected length of the answer.
         */
        fun of(head: RequestHead, typicalOutput: Long): RequestSize {
            val limit = head.outputLimit?.count ?: Long.MAX_VALUE
            val expected = head.expectedOutput?.count ?: typicalOutput
            return RequestSize(head.promptTokens?.count ?: 0, minOf(expected, limit))
        }
    }
}
