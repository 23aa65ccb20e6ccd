/*
 * How the share of capacity that a cold endpoint offers grows.
 */
package org.gypsumroute.core

/**
 * Grows by the document's factor after enough completions at warm speed; resets when slow.
 *
 * The completions must add up to prefill work that stands out from the engine's base latency: on
 * short prompts a cold engine is not measurably slower, and 16 of them grew past what they bore.
 */
val growAtWarmSpeed: RampPolicy = { question ->
    val rule = question.rule
    when {
        isCold(question) -> minOf(question.share, rule.initialShare)

        question.completionsAtShare >= maxOf(rule.completionsPerStep, 1) &&
            question.workAtShare >= rule.warmFirstToken * rule.completionsPerStep ->
            minOf(1.0, question.share * rule.growthFactor)

        else -> question.share
    }
}

/** Baseline: a cold endpoint offers everything. */
val noRamp: RampPolicy = { 1.0 }

/** Whether a completion was slower than the document allows for a warm engine. */
internal fun isCold(question: RampContext): Boolean =
    question.elapsed > question.warmEstimate * question.rule.coldFactor
