/*
 * Load profiles, sending of load and evaluation of outcomes for several measurements.
 */
package org.gypsumroute.measure

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.HdrHistogram.Histogram
import org.gypsumroute.cli.load.CallOutcome
import org.gypsumroute.cli.load.LoadProfile
import org.gypsumroute.cli.load.MixPart
import org.gypsumroute.cli.load.PlannedRequest
import org.gypsumroute.cli.load.planArrivals
import org.gypsumroute.cli.load.runLoad

/**
 * The value at [percentile] in milliseconds; NaN without times. Callers pass times from the planned
 * arrival, so that the delay of a request that was sent late because the system stalled counts.
 */
internal fun percentile(times: List<Duration>, percentile: Double): Double {
    if (times.isEmpty()) return Double.NaN
    val histogram = Histogram(3)
    for (time in times) histogram.recordValue(time.inWholeMicroseconds.coerceAtLeast(0))
    return histogram.getValueAtPercentile(percentile) / 1_000.0
}

internal fun firstTokenP95Milliseconds(outcomes: List<CallOutcome>): Double =
    percentile(outcomes.mapNotNull { it.firstToken }, 95.0)

internal fun List<CallOutcome>.shortPrompts(): List<CallOutcome> =
    filter { it.promptTokens <= ServiceDocumentText.MAX_SHORT_PROMPT_TOKENS }

internal fun List<CallOutcome>.failureCount(): Int = count { it.error != null }

/** Errors with their counts for a note, such as `2 overloaded`; `none` without errors. */
internal fun formatErrorCounts(outcomes: List<CallOutcome>): String =
    outcomes.mapNotNull { it.error }.groupingBy { it }.eachCount().entries
        .joinToString { "${it.value} ${it.key}" }.ifEmpty { "none" }

/**
 * The same arrivals without the prompts over [ServiceDocumentText.MAX_SHORT_PROMPT_TOKENS] tokens.
 */
internal fun withoutLongPrompts(plan: List<PlannedRequest>): List<PlannedRequest> =
    plan.filter { it.promptTokens <= ServiceDocumentText.MAX_SHORT_PROMPT_TOKENS }

internal fun loadProfileOf(vararg parts: MixPart) =
    LoadProfile("measure", ServiceDocumentText.SERVICE, parts.toList())

internal val shortPromptMix =
    MixPart(weight = 49, shortest = 1_000, longest = 4_000, outputTokens = 32)
internal val longPromptMix =
    MixPart(weight = 1, shortest = 100_001, longest = 300_000, outputTokens = 32)

/**
 * Sends load of [profile] for [seconds] and ignores the outcomes. After it, the JVMs have compiled
 * the code in use and the agents' ramps have ended.
 */
internal fun warmUp(fleet: Fleet, profile: LoadProfile, rate: Double, seconds: Int) {
    val caller = fleet.newCaller()
    runLoad(planArrivals(profile, rate, seconds.seconds, seed = WARM_UP_SEED), caller::call)
    caller.close()
}

/** Sends [plan] to the fleet's entries and returns the outcomes in the order of the plan. */
internal fun sendAll(
    fleet: Fleet,
    plan: List<PlannedRequest>,
    timeout: Int = 30
): List<CallOutcome> {
    val caller = fleet.newCaller(timeout)
    val outcomes = runLoad(plan, caller::call)
    caller.close()
    return outcomes.sortedBy { it.number }
}

internal fun toMilliseconds(time: Duration): Double = time.toDouble(DurationUnit.MILLISECONDS)

internal fun toSeconds(time: Duration): Double = time.toDouble(DurationUnit.SECONDS)

private const val WARM_UP_SEED = 99L
