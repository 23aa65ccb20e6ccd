package org.gypsumroute.entry.http

import io.ktor.server.application.ApplicationCall
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.entry.Exchange
import org.gypsumroute.runtime.EventSink

/**
 * Refuses a request that the front end itself found invalid, and reports this to the reducer. No
 * endpoint has received any of the request. The id is free before the caller has the response,
 * because the caller may send a corrected request with the same id at once.
 */
internal suspend fun rejectRequest(
    call: ApplicationCall,
    exchange: Exchange,
    events: EventSink,
    kind: ErrorKind,
    detail: String
) {
    events(CallerEvent.Rejected(exchange.request, kind))
    exchange.close(CallerEvent.AnswerTaken(exchange.request))
    respondError(call, Failure(kind, detail), exchange.request)
}

/** Responds with a failure that the reducer decided on. */
internal suspend fun respondFailure(call: ApplicationCall, exchange: Exchange, failure: Failure) {
    respondError(call, failure, exchange.request)
}

/** The rules for bodies, told to a caller whose body could not be read. */
internal fun bodyErrorDetail(settings: CallersHttpSettings): String =
    "body: whole, at most ${settings.maxBodyBytes} bytes, within the timeout"
