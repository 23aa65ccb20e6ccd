/*
 * Ramp policies: how the share of capacity that a cold endpoint offers grows.
 */
package org.gypsumroute.core.engine

import org.gypsumroute.core.RampContext
import org.gypsumroute.core.RampPolicy
import org.gypsumroute.core.admission.initialShare

/**
 * Multiplies the share by the document's growth factor after enough completions at warm speed, and
 * resets it after a completion that was too slow.
 *
 * The completions must also add up to enough prefill work. On short prompts, prefill is small
 * against the engine's base latency and a cold engine is not measurably slower than a warm one;
 * with the count alone, cold engines grew their share beyond what they could bear, and 1 to 2 of
 * 16 collapsed.
 */
val growAtWarmSpeed: RampPolicy = { context ->
    val rule = context.rule
    when {
        isCold(context) -> minOf(context.share, rule.initialShare)

        context.completionsAtShare >= maxOf(rule.completionsPerStep, 1) &&
            context.workAtShare >= rule.warmFirstToken * rule.completionsPerStep ->
            minOf(1.0, context.share * rule.growthFactor)

        else -> context.share
    }
}

/** Baseline: a cold endpoint offers its whole capacity at once. */
val noRamp: RampPolicy = { 1.0 }

/** Whether a completion was slower than the document allows for a warm engine. */
internal fun isCold(context: RampContext): Boolean =
    context.elapsed > context.warmEstimate * context.rule.coldFactor
