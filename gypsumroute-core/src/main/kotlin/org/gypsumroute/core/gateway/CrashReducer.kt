/*
 * Endpoints that end while they run requests.
 */
package org.gypsumroute.core.gateway

import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Step
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step

/** Logs what was open at an endpoint when the connection of one of its attempts was lost. */
internal fun noteConnectionLost(
    state: GatewayState,
    record: ForwardRecord,
    attempt: Attempt
): Step<GatewayState> = state.step(
    logEffect(
        LogEvent.CONNECTION_LOST,
        "request" to record.head.callerRequestId,
        "attempt" to record.sendCount,
        "endpoint" to attempt.endpoint,
        "start" to attempt.startStamp,
        "organisation" to record.organisation,
        "parts" to record.head.promptParts.joinToString(" "),
        "begun" to record.answerStarted,
        "open_beside" to (state.endpoints[attempt.endpoint]?.work?.size ?: 0),
        "sent_ago" to (state.common.now - attempt.sentAt)
    )
)
