package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationId
import org.gypsumroute.api.Route
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens

/**
 * One request that a caller waits for.
 *
 * [sends] counts the endpoints that it was sent to, [triedEndpoints] names them. [mayHaveRun] is false only
 * while no endpoint can have run it. [answerStarted] tells whether the caller got a part of an answer, and
 * [failureAnswerHeld] whether an endpoint's failure is held for it. While memory is reserved for it,
 * [pendingChoice] is the choice that waits; [reservations] are released when the request ends.
 */
data class ForwardRecord(
    val request: RequestId,
    val head: RequestHead,
    val route: Route,
    val service: ServiceId,
    val organisation: OrganisationId?,
    val urgency: Int,
    val size: RequestSize,
    val arrivedAt: Moment,
    val deadline: Moment,
    val attempt: Attempt? = null,
    val sends: Int = 0,
    val triedEndpoints: PersistentSet<EndpointId> = persistentSetOf(),
    val mayHaveRun: Boolean = false,
    val answerStarted: Boolean = false,
    val firstEventAt: Moment? = null,
    val failureAnswerHeld: Boolean = false,
    val pendingChoice: ForwardChoice? = null,
    val failedChoices: Int = 0,
    val reservations: PersistentMap<ReservationId, Reservation> = persistentMapOf()
) {
    /** The longest pause that the stream bears; a whole answer bears any. */
    val gap: Duration get() = route.gapObjective ?: Duration.INFINITE
}

/**
 * Memory at [endpoint] for a part of a prompt; [held] once the engine said so. It is released at
 * [address] also when the endpoint's record is gone, since the engine may go on for a while.
 */
data class Reservation(
    val endpoint: EndpointId,
    val address: EndpointAddress,
    val tokens: Tokens,
    val held: Boolean = false
)

/** The attempt that is under way at [endpoint]; [helpers] read parts of the prompt. */
data class Attempt(val id: AttemptId, val endpoint: EndpointId, val helpers: List<EndpointId>)
