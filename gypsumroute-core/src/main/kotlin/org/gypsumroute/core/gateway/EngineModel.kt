/*
 * Estimates of an engine's times from its published figures.
 *
 * An engine works in passes. A pass with writers runs a fixed number of steps, each as long as the
 * writers and their contexts make it, and reads prompts meanwhile; its end gives each writer one
 * event. So a pause between events is a pass, and grows by all that is read within it.
 */
package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Tokens

/** Estimates for engines with these [figures]. */
class EngineModel(private val figures: EngineProfile) {
    private val tokensPerPass = figures.prefillChunkTokens.toLong() * figures.stepsPerPass

    /** Time to read a prompt on one engine that does nothing else. */
    fun readTime(prompt: Tokens): Duration {
        val tokens = prompt.count.toDouble()
        val millionPairs = tokens * (tokens + 1) / 2 / PAIRS_IN_MILLION
        return figures.prefillTimePerToken * tokens +
            figures.prefillTimePerMillionPairs * millionPairs
    }

    /** Time of a pass with [writers] that hold [context] tokens in all, without any reading. */
    fun passTime(writers: Int, context: Long): Duration {
        val step = figures.stepTime + figures.stepTimePerSequence * writers +
            figures.stepTimePerThousandContextTokens * (context / THOUSAND)
        return step * figures.stepsPerPass
    }

    /** Passes needed to read [tokens] while others write. */
    fun passesFor(tokens: Long): Long = (tokens + tokensPerPass - 1) / tokensPerPass

    /** Tokens of prompt and answer that fit an engine. */
    val memory: Long get() = figures.memory.count

    /** Requests that an engine runs at a time. */
    val slots: Int get() = figures.slots

    /** Time in which an answer of [output] tokens is written. */
    fun writeTime(output: Tokens, pass: Duration): Duration =
        pass * (output.count.toDouble() / figures.stepsPerPass)

    private companion object {
        const val PAIRS_IN_MILLION = 1e6
        const val THOUSAND = 1000.0
    }
}

internal fun Duration.toSeconds(): Double = toDouble(DurationUnit.SECONDS)

internal fun Duration.toMilliseconds(): Double = toDouble(DurationUnit.MILLISECONDS)
