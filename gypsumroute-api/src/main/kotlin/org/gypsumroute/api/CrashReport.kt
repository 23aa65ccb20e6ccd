/*
 * What a gateway reports to the others of parts of prompts under which endpoints ended. Times are
 * ages, since the clocks of two processes cannot be compared.
 */
package org.gypsumroute.api

import kotlin.time.Duration

/** Evidence about some parts, and parts that were since found in complete answers. */
data class CrashReport(
    val suspicions: List<ReportedSuspicion> = emptyList(),
    val clearances: List<ReportedClearance> = emptyList()
)

/**
 * Some [losses] of endpoints under each of [parts], first of all those that came one after the
 * other. [othersServed] counts requests without the part that were served since the first loss.
 */
data class ReportedSuspicion(
    val parts: List<PromptPartId>,
    val othersServed: Int,
    val losses: List<ReportedLoss>
)

/** The connection of an attempt at [start] was lost before an answer of it was under way. */
data class ReportedLoss(
    val start: EndpointStart,
    val organisation: OrganisationDigest,
    val sentAgo: Duration,
    val lostAgo: Duration
)

/** A request with [parts] was answered completely. */
data class ReportedClearance(val parts: List<PromptPartId>, val ago: Duration)
