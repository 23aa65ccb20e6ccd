package org.gypsumroute.entry.http

import io.ktor.server.application.ApplicationCall
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.entry.Exchange
import org.gypsumroute.runtime.EventSink

/** Refuses a request that no endpoint has seen, and tells the reducer. */
internal suspend fun reject(
    call: ApplicationCall,
    exchange: Exchange,
    events: EventSink,
    kind: ErrorKind,
    detail: String
) {
    events(CallerEvent.Rejected(exchange.request, kind))
    respondError(call, Failure(kind, detail), exchange.request)
}

/** Answers with an error that the reducer decided on. */
internal suspend fun refuse(call: ApplicationCall, exchange: Exchange, failure: Failure) {
    respondError(call, failure, exchange.request)
}

/** What a caller may do about a body that could not be read. */
internal fun bodyFault(settings: CallersHttpSettings): String =
    "body: whole, at most ${settings.largestBody} bytes, within the timeout"
