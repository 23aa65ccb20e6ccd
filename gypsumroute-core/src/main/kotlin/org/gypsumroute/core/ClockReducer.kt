package org.gypsumroute.core

import kotlin.time.Duration
import org.gypsumroute.api.Effect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent.ClockRead
import org.gypsumroute.api.Step
import org.gypsumroute.core.peers.resetSilenceTracking

/**
 * Stores a clock reading and detects pauses of this process.
 *
 * The heartbeat timer bounds the gap between two readings, so a longer gap means that the process
 * was paused (stopped, starved of CPU time or suspended).
 */
internal fun reduceClock(common: CommonState, reading: ClockRead): Step<CommonState> {
    val gap = reading.at - common.now
    val longestExpectedGap = common.timings.activeHeartbeat + common.timings.pauseThreshold
    val pause = if (common.startupWaitElapsed && gap > longestExpectedGap) gap else Duration.ZERO
    val next = common.copy(now = reading.at, entropy = reading.entropy, detectedPause = pause)
    if (pause == Duration.ZERO) return next.step()
    return Step(resetSilenceTracking(next), pauseEffects(pause))
}

private fun pauseEffects(pause: Duration): List<Effect> = listOf(
    logEffect(LogEvent.PROCESS_PAUSED, "pause" to pause),
    RuntimeEffect.Count(Metric.PAUSES, MetricLabels())
)
