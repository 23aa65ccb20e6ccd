package org.gypsumroute.api

import kotlin.time.Duration

/**
 * The work that an entry asks an endpoint to do under one lease.
 *
 * [remaining] is the time to the caller's deadline when the message was sent. [prefix] is set for
 * generation and [group] for the work of a group's member; [actionKey] is set for actions, and
 * [path] for calls of plain services.
 */
data class WorkOrder(
    val lease: LeaseId,
    val request: RequestId,
    val service: ServiceId,
    val organisation: OrganisationId,
    val lengthClass: LengthClassName,
    val kind: WorkKind,
    val promptTokens: Tokens,
    val outputLimit: Tokens,
    val remaining: Duration,
    val prefix: PrefixDigest? = null,
    val group: GroupSegment? = null,
    val actionKey: ActionKey? = null,
    val path: String? = null
)
