package org.gypsumroute.core

import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.Moment

/**
 * Progress of orders to the engine.
 *
 * [scheduled] is set while the order timer runs. From the timer on, [wanted] keeps new work away
 * until the engine is idle and has been given the order. [outstanding] is the order whose effect
 * the engine's state does not show yet, [highest] the highest number this agent used.
 */
data class OrdersState(
    val scheduled: Boolean = false,
    val wanted: Boolean = false,
    val outstanding: FencingNumber? = null,
    val highest: FencingNumber = FencingNumber(0),
    val lastOrderAt: Moment? = null
)
