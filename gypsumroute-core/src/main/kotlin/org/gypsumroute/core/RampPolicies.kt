/*
 * How the share of capacity that a cold endpoint offers grows.
 */
package org.gypsumroute.core

/** Grows by the document's factor after enough completions at warm speed; resets when slow. */
val growAtWarmSpeed: RampPolicy = { question ->
    val rule = question.rule
    when {
        isCold(question) -> minOf(question.share, rule.initialShare)

        question.completionsAtShare >= maxOf(rule.completionsPerStep, 1) ->
            minOf(1.0, question.share * rule.growthFactor)

        else -> question.share
    }
}

/** Baseline: a cold endpoint offers everything. */
val noRamp: RampPolicy = { 1.0 }

/** Whether a completion was slower than the document allows for a warm engine. */
internal fun isCold(question: RampQuestion): Boolean =
    question.elapsed > question.warmEstimate * question.rule.coldFactor
