package org.gypsumroute.core.gateway.crashes

import kotlin.time.Duration
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.core.gateway.attempts.retryAfter

/** A part for which a request is refused, and the time after which it may be tried again. */
internal data class BlockedPart(
    val part: PromptPartId,
    val evidence: PartEvidence,
    val retryAfter: Duration
)
