package org.gypsumroute.api

import kotlin.time.Duration

/**
 * The endpoint that an attempt is sent to, and what is sent along.
 *
 * [startedAt] names the start of the endpoint that is meant, or is null if that is not known.
 * [remaining] is the time to the request's deadline when the effect was issued; the endpoint stops
 * its work then. An engine admits work in the order of [priority], 0 first; it is null for requests
 * that are not streamed. [helpers] prefill parts of the prompt. The attempt counts as
 * stalled if the first byte of the answer takes longer than [firstByteLimit], or a next event of a
 * stream longer than [gapLimit].
 */
data class ForwardTarget(
    val endpoint: EndpointId,
    val address: EndpointAddress,
    val startedAt: UnixTime?,
    val organisation: OrganisationId?,
    val remaining: Duration,
    val priority: Int?,
    val helpers: List<HelperTarget>,
    val streaming: Boolean,
    val repetition: Repetition,
    val firstByteLimit: Duration,
    val gapLimit: Duration
)

/**
 * An engine that prefills a part of a prompt for the engine that serves the request. [reservation]
 * is set if the helper also has to hold tokens, because no engine's memory holds the whole request.
 */
data class HelperTarget(val address: EndpointAddress, val reservation: ReservationId? = null)
