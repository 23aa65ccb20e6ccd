package org.gypsumroute.core.gateway.attempts

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
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.admission.RequestWait
import org.gypsumroute.core.gateway.endpoints.ExpectedTimes
import org.gypsumroute.core.gateway.placement.ForwardChoice
import org.gypsumroute.core.gateway.placement.RequestSize

/**
 * One open request of a caller.
 *
 * [attempt] is the attempt in progress. [stalledAttempt] is an earlier one whose stream paused for
 * longer than its limit; it stays open until one of the two delivers the next event.
 *
 * A lower [priority] is more urgent. [sendCount] counts the attempts, except those that ended
 * before a byte was sent; [triedEndpoints] are not chosen again. [mayHaveRun] is false only while
 * no endpoint can have run the request. [answerStarted] tells whether the caller received a part of
 * an answer, and [failureAnswerHeld] whether an endpoint's failure answer is held for the caller.
 * [pendingChoice] is the choice for which memory is being reserved, and [failedChoices] counts the
 * choices that were given up for lack of it. [reservations] are released when the request ends.
 * [wait] is not null while the request waits at the gateway for room at engines.
 */
data class ForwardRecord(
    val request: RequestId,
    val head: RequestHead,
    val route: Route,
    val service: ServiceId,
    val organisation: OrganisationId?,
    val priority: Int,
    val size: RequestSize,
    val arrivedAt: Moment,
    val deadline: Moment,
    val attempt: Attempt? = null,
    val stalledAttempt: Attempt? = null,
    val sendCount: Int = 0,
    val triedEndpoints: PersistentSet<EndpointId> = persistentSetOf(),
    val mayHaveRun: Boolean = false,
    val answerStarted: Boolean = false,
    val firstEventAt: Moment? = null,
    val failureAnswerHeld: Boolean = false,
    val pendingChoice: ForwardChoice? = null,
    val failedChoices: Int = 0,
    val reservations: PersistentMap<ReservationId, Reservation> = persistentMapOf(),
    val wait: RequestWait? = null
) {
    /** The attempts whose ends have not been reported. */
    val openAttempts: List<Attempt> get() = listOfNotNull(attempt, stalledAttempt)

    /** The record after the end of one of its open attempts. */
    fun withoutAttempt(ended: Attempt): ForwardRecord = copy(
        attempt = attempt.takeIf { it != ended },
        stalledAttempt = stalledAttempt.takeIf { it != ended }
    )

    /** The longest pause that the stream tolerates; infinite for answers sent as a whole. */
    val gapObjective: Duration get() = route.gapObjective ?: Duration.INFINITE
}

/**
 * Memory at [endpoint] for a part of a prompt; [confirmed] once the engine has set it aside. It is
 * released at [address] even if the endpoint's record was removed, since the engine may still run.
 * [startedAt] names the start of the engine.
 */
data class Reservation(
    val endpoint: EndpointId,
    val address: EndpointAddress,
    val startedAt: UnixTime?,
    val tokens: Tokens,
    val confirmed: Boolean = false
)

/**
 * An attempt at [endpoint], sent at [sentAt] to the start of it that [startedAt] names. [helpers]
 * read parts of the prompt. [expectedTimes] are those that the model predicted, and [firstEventAt]
 * is the time at which its answer began.
 */
data class Attempt(
    val id: AttemptId,
    val endpoint: EndpointId,
    val helpers: List<EndpointId>,
    val sentAt: Moment,
    val startedAt: UnixTime?,
    val expectedTimes: ExpectedTimes? = null,
    val firstEventAt: Moment? = null
)
