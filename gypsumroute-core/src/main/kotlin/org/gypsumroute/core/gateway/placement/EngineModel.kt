/*
 * Estimates of an engine's times from its published profile.
 *
 * An engine works in passes. A pass with requests that decode runs a fixed number of steps. The
 * duration of a step depends on the number of these requests and the size of their contexts.
 * During the pass the engine also reads (prefills) prompts, and at its end each of these requests
 * emits one stream event. The pause between two events is therefore one pass, including the time
 * of all prompts read within it.
 */
package org.gypsumroute.core.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.DurationUnit
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Tokens

/**
 * Time estimates for engines with this published [profile]. No estimate is longer than
 * [LONGEST_ESTIMATE], so that sums and differences of estimates stay finite.
 */
class EngineModel(private val profile: EngineProfile) {
    private val prefillTokensPerPass = profile.prefillChunkTokens.toLong() * profile.stepsPerPass

    /** Time to read (prefill) a prompt on one engine that does nothing else. */
    fun prefillTime(prompt: Tokens): Duration {
        val tokens = prompt.count.toDouble()
        val millionPairs = tokens * (tokens + 1) / 2 / PAIRS_PER_MILLION
        val time = profile.prefillTimePerToken * tokens +
            profile.prefillTimePerMillionPairs * millionPairs
        return time.coerceAtMost(LONGEST_ESTIMATE)
    }

    /**
     * Time of a pass with [decodingRequests] that hold [context] tokens in total, without any
     * reading.
     */
    fun passTime(decodingRequests: Int, context: Long): Duration {
        val step = profile.stepTime + profile.stepTimePerSequence * decodingRequests +
            profile.stepTimePerThousandContextTokens * (context / TOKENS_PER_CONTEXT_UNIT)
        return (step * profile.stepsPerPass).coerceAtMost(LONGEST_ESTIMATE)
    }

    /** Passes needed to read [tokens] while other requests decode. */
    fun prefillPasses(tokens: Long): Long =
        (tokens + prefillTokensPerPass - 1) / prefillTokensPerPass

    /** Memory of an engine in tokens of prompts and answers. */
    val memory: Long get() = profile.memory.count

    /** Number of requests that an engine runs concurrently. */
    val slots: Int get() = profile.slots

    /** Time to decode an answer of [output] tokens if each pass takes [pass]. */
    fun decodeTime(output: Tokens, pass: Duration): Duration =
        (pass * (output.count.toDouble() / profile.stepsPerPass)).coerceAtMost(LONGEST_ESTIMATE)

    private companion object {
        const val PAIRS_PER_MILLION = 1e6
        const val TOKENS_PER_CONTEXT_UNIT = 1000.0

        /** Longer than any caller waits. */
        val LONGEST_ESTIMATE: Duration = 30.days
    }
}

internal fun Duration.toSeconds(): Double = toDouble(DurationUnit.SECONDS)

internal fun Duration.toMilliseconds(): Double = toDouble(DurationUnit.MILLISECONDS)
