package org.gypsumroute.api

import kotlin.time.Duration

/**
 * One gateway's work at one endpoint.
 *
 * [open] counts requests that hold or wait for a slot, [writers] those that write already, and
 * [context] the tokens held. [unread] is the reading time of prompts and parts that are not known
 * to be read. [readSent] and [helpSent] add up the reading time of all own prompts and of all parts
 * for others that were ever sent there, so that a receiver knows what was added since the last
 * report. [urgency] is what a second of delay costs its unread requests. [stakes] tell what is lost
 * if a pass takes longer than the pauses that writers bear.
 */
data class EngineLoad(
    val open: Int = 0,
    val writers: Int = 0,
    val context: Long = 0,
    val unread: Duration = Duration.ZERO,
    val readSent: Duration = Duration.ZERO,
    val helpSent: Duration = Duration.ZERO,
    val urgency: Double = 0.0,
    val stakes: List<Stake> = emptyList()
) {
    operator fun plus(other: EngineLoad): EngineLoad = EngineLoad(
        open + other.open,
        writers + other.writers,
        context + other.context,
        unread + other.unread,
        readSent + other.readSent,
        helpSent + other.helpSent,
        urgency + other.urgency,
        merged(stakes + other.stakes)
    )

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
