/*
 * Plans and results of load that several measurements share.
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
 * The value at [percentile] in milliseconds. Times count from the planned arrival, so a request
 * that was sent late because the system stalled counts with its delay.
 */
internal fun percentile(times: List<Duration>, percentile: Double): Double {
    if (times.isEmpty()) return Double.NaN
    val histogram = Histogram(3)
    for (time in times) histogram.recordValue(time.inWholeMicroseconds.coerceAtLeast(0))
    return histogram.getValueAtPercentile(percentile) / 1_000.0
}

internal fun firstTokenP95(outcomes: List<CallOutcome>): Double =
    percentile(outcomes.mapNotNull { it.firstToken }, 95.0)

internal fun List<CallOutcome>.short(): List<CallOutcome> =
    filter { it.promptTokens <= ServiceText.LONGEST_SHORT }

internal fun List<CallOutcome>.failed(): Int = count { it.error != null }

/** Errors with their counts as a sentence's end, such as `2 overloaded`. */
internal fun errorsOf(outcomes: List<CallOutcome>): String =
    outcomes.mapNotNull { it.error }.groupingBy { it }.eachCount().entries
        .joinToString { "${it.value} ${it.key}" }.ifEmpty { "none" }

/** The same arrivals without the prompts over [ServiceText.LONGEST_SHORT] tokens. */
internal fun withoutLong(plan: List<PlannedRequest>): List<PlannedRequest> =
    plan.filter { it.promptTokens <= ServiceText.LONGEST_SHORT }

internal fun mixOf(vararg parts: MixPart) =
    LoadProfile("measure", ServiceText.SERVICE, parts.toList())

internal val shortPart = MixPart(weight = 49, shortest = 1_000, longest = 4_000, outputTokens = 32)
internal val longPart =
    MixPart(weight = 1, shortest = 100_001, longest = 300_000, outputTokens = 32)

/** Sends [seconds] of [profile] and drops the results: compiles the code and ends the ramp. */
internal fun warmUp(fleet: Fleet, profile: LoadProfile, rate: Double, seconds: Int) {
    val caller = fleet.caller()
    runLoad(planArrivals(profile, rate, seconds.seconds, seed = WARM_UP_SEED), caller::call)
    caller.close()
}

/** Sends [plan] to the fleet's entries and returns the results in the plan's order. */
internal fun send(fleet: Fleet, plan: List<PlannedRequest>, timeout: Int = 30): List<CallOutcome> {
    val caller = fleet.caller(timeout)
    val outcomes = runLoad(plan, caller::call)
    caller.close()
    return outcomes.sortedBy { it.number }
}

internal fun milliseconds(time: Duration): Double = time.toDouble(DurationUnit.MILLISECONDS)

internal fun inSeconds(time: Duration): Double = time.toDouble(DurationUnit.SECONDS)

private const val WARM_UP_SEED = 99L
