package org.gypsumroute.api

import kotlin.time.Duration

/**
 * The work at one endpoint as far as it is known.
 *
 * [open] counts requests that hold or wait for a slot, [writers] those that write already.
 * [pendingRead] is prompt reading that is not done, [context] the tokens held. [stakes] tell what
 * is lost if a pass takes longer than the pauses that writers bear.
 */
data class EngineLoad(
    val open: Int = 0,
    val writers: Int = 0,
    val pendingRead: Duration = Duration.ZERO,
    val context: Long = 0,
    val stakes: List<Stake> = emptyList()
) {
    operator fun plus(other: EngineLoad): EngineLoad = EngineLoad(
        open + other.open,
        writers + other.writers,
        pendingRead + other.pendingRead,
        context + other.context,
        merged(stakes + other.stakes)
    )

    /** This load some time later, if nothing else is known. */
    fun after(elapsed: Duration): EngineLoad =
        copy(pendingRead = (pendingRead - elapsed).coerceAtLeast(Duration.ZERO))

    companion object {
        /** Adds up the stakes that bear the same pause. */
        fun merged(stakes: List<Stake>): List<Stake> = if (stakes.size < 2) {
            stakes
        } else {
            stakes.groupBy { it.gap }.map { (gap, same) ->
                Stake(gap, same.sumOf { it.value })
            }
        }
    }
}
