package org.gypsumroute.api

import kotlin.time.Duration

/**
 * Where and how an attempt is sent. The endpoint stops work after [remaining], counted from the
 * moment of the effect. [priority] orders work at an engine, 0 first. [helpers] read parts of the
 * prompt. The attempt is given up when the first byte of an answer takes longer than
 * [firstByteLimit], or the next event of a stream longer than [gapLimit].
 */
data class ForwardTarget(
    val endpoint: EndpointId,
    val address: EndpointAddress,
    val organisation: OrganisationId?,
    val remaining: Duration,
    val priority: Int?,
    val helpers: List<HelperTarget>,
    val streaming: Boolean,
    val repetition: Repetition,
    val firstByteLimit: Duration,
    val gapLimit: Duration
)

/** An engine that reads a part of a prompt; [reservation] holds memory there for it. */
data class HelperTarget(val address: EndpointAddress, val reservation: ReservationId? = null)
