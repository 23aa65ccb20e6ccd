/*
 * Forwarded requests from arrival to end.
 *
 * A request is sent to one endpoint at a time. It goes to another one only if no endpoint can have
 * run it, or if its work may run again; streams then go on after the last event passed on.
 */
package org.gypsumroute.core.gateway

import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step

internal fun reduceForward(state: GatewayState, event: ForwardEvent): Step<GatewayState> =
    when (event) {
        is ForwardEvent.Arrived -> reduceArrived(state, event)

        is ForwardEvent.Rejected -> state.step(
            logEffect(
                LogEvent.REQUEST_REFUSED,
                "kind" to event.failure.kind.code,
                "detail" to event.failure.detail
            ),
            countRefusal(event.failure.kind.code)
        )

        is ForwardEvent.CallerLeft -> reduceCallerLeft(state, event.request)

        is ForwardEvent.StreamBegun -> reduceStreamBegun(state, event)

        is ForwardEvent.AttemptEnded -> reduceAttemptEnded(state, event)
    }
