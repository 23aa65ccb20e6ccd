/*
 * Dispatches the events of forwarded requests, from arrival to end.
 *
 * A request is sent to one endpoint at a time, except that a stalled stream stays open while
 * another endpoint resumes it. It is sent to another endpoint only if none can have run it, or if
 * its route allows its work to run again; a resumable stream then continues after the last event
 * that was passed on to the caller.
 */
package org.gypsumroute.core.gateway.attempts

import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.gateway.countDroppedCaller
import org.gypsumroute.core.gateway.countDroppedInput
import org.gypsumroute.core.gateway.countRefusal
import org.gypsumroute.core.gateway.endpoints.reduceEndpointStated
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

        is ForwardEvent.Withdrawn -> reduceWithdrawn(state, event)

        is ForwardEvent.CallerLeft -> reduceCallerLeft(state, event.request)

        is ForwardEvent.StreamBegun -> reduceStreamBegun(state, event)

        is ForwardEvent.EndpointStated -> reduceEndpointStated(state, event)

        is ForwardEvent.InputDropped -> state.step(
            logEffect(
                LogEvent.INPUT_DROPPED,
                "address" to event.address,
                "endpoint" to endpointAt(state, event.address),
                "input" to event.input.code
            ),
            countDroppedInput(event.input)
        )

        is ForwardEvent.CallerDropped -> state.step(
            logEffect(LogEvent.CALLER_DROPPED, "cause" to event.cause.code),
            countDroppedCaller(event.cause)
        )

        is ForwardEvent.AttemptStalled -> reduceAttemptStalled(state, event)

        is ForwardEvent.AttemptTookOver -> reduceAttemptTookOver(state, event)

        is ForwardEvent.AttemptEnded -> reduceAttemptEnded(state, event)
    }

/** The endpoint that is published at an address, or null if there is none any more. */
private fun endpointAt(state: GatewayState, address: EndpointAddress): EndpointId? =
    state.endpoints.values.find { it.record.address == address }?.record?.id
