package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Capacity and speed of a service's engines, as the routing table publishes them.
 *
 * An engine works in passes. While it decodes requests, a pass has [stepsPerPass] decoding steps;
 * each step yields one token per request, and the tokens of a pass leave the engine as one stream
 * event. A step takes [stepTime], plus [stepTimePerSequence] for each decoding request, plus
 * [stepTimePerThousandContextTokens] for each 1,000 tokens of their contexts.
 *
 * Prefill takes [prefillTimePerToken] for each token of the prompt, plus
 * [prefillTimePerMillionPairs] for each million pairs of a token with an earlier one. An engine
 * prefills at most [prefillChunkTokens] tokens in a step.
 *
 * An engine runs at most [slots] requests at a time, and its key-value cache holds [memory] tokens.
 * [typicalOutput] stands in for the length of an answer that the caller didn't state.
 */
data class EngineProfile(
    val slots: Int,
    val memory: Tokens,
    val stepTime: Duration,
    val stepTimePerSequence: Duration,
    val stepTimePerThousandContextTokens: Duration,
    val prefillTimePerToken: Duration,
    val prefillTimePerMillionPairs: Duration,
    val prefillChunkTokens: Int,
    val stepsPerPass: Int,
    val typicalOutput: Tokens
)
