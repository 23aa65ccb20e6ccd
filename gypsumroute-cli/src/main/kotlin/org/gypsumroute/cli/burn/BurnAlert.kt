package org.gypsumroute.cli.burn

/**
 * How urgent a burn is. A rate must be high in two windows: the long one shows that it matters,
 * the short one that it goes on. The rates are those of the Site Reliability Workbook, chapter 5:
 * 2 % of a 30-day budget in one hour, and 5 % in six hours.
 */
internal enum class BurnAlert(val text: String) {
    NONE("-"),
    SLOW("slow"),
    FAST("fast");

    companion object {
        /** The alert for windows given shortest first. */
        fun of(windows: List<BurnCounts>): BurnAlert {
            val rates = windows.map { it.burnRate }
            return when {
                rates.take(2).let { it.size == 2 && it.min() >= FAST_RATE } -> FAST
                rates.drop(1).let { it.size == 2 && it.min() >= SLOW_RATE } -> SLOW
                else -> NONE
            }
        }

        private const val FAST_RATE = 14.4
        private const val SLOW_RATE = 6.0
    }
}
