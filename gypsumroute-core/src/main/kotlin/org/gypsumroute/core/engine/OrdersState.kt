package org.gypsumroute.core.engine

import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.Moment

/**
 * Progress of the orders that make the engine load a model.
 *
 * [scheduled] is set while the order timer runs. When the timer fires, [holdsBackWork] is set: no
 * new work is granted until the engine is idle, has got the order and shows the model.
 * [unconfirmed] is the fencing number of the order whose effect the engine's state does not show
 * yet, and [highestFencing] the highest fencing number that this agent has used.
 */
data class OrdersState(
    val scheduled: Boolean = false,
    val holdsBackWork: Boolean = false,
    val unconfirmed: FencingNumber? = null,
    val highestFencing: FencingNumber = FencingNumber(0),
    val lastOrderAt: Moment? = null
)
