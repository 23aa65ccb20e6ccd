package org.gypsumroute.core

import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.Moment

/**
 * Progress of orders to the engine.
 *
 * [scheduled] is set while the order timer runs. From the timer on, [holdsBackWork] keeps new work away
 * until the engine is idle and has been given the order. [unconfirmed] is the order whose effect
 * the engine's state does not show yet, [highestFencing] the highest number this agent used.
 */
data class OrdersState(
    val scheduled: Boolean = false,
    val holdsBackWork: Boolean = false,
    val unconfirmed: FencingNumber? = null,
    val highestFencing: FencingNumber = FencingNumber(0),
    val lastOrderAt: Moment? = null
)
