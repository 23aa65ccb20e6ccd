package org.gypsumroute.cli.burn

/**
 * Urgency of the burn rates of an objective. The rate must be high in two windows: the longer one
 * shows that a significant share of the error budget is used, the shorter one that the failures
 * continue. The thresholds are those of the Site Reliability Workbook, chapter 5: 2 % of a 30-day
 * budget in one hour, and 5 % of it in six hours.
 */
internal enum class BurnAlert(val text: String) {
    NONE("-"),
    SLOW("slow"),
    FAST("fast");

    companion object {
        /** Returns the alert for [windows], which are sorted from shortest to longest. */
        fun of(windows: List<BurnCounts>): BurnAlert {
            val rates = windows.map { it.burnRate }
            return when {
                rates.take(2).let { it.size == 2 && it.min() >= FAST_BURN_RATE } -> FAST
                rates.drop(1).let { it.size == 2 && it.min() >= SLOW_BURN_RATE } -> SLOW
                else -> NONE
            }
        }

        private const val FAST_BURN_RATE = 14.4
        private const val SLOW_BURN_RATE = 6.0
    }
}
