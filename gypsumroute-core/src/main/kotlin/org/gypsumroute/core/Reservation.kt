package org.gypsumroute.core

import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind

/**
 * Engine memory and a slot kept for one lease.
 *
 * [lengthClass] is the class's position in the document. [tokens] is prompt plus output, zero for
 * plain services. [openedAt] is when the engine got the work. [holdSince] is when [hold] began,
 * [absentReads] the number of consecutive state reads taken after that which did not list it.
 * [prefilledTokensAtOpen] is the total of prompt tokens handed to the engine before this work, less those
 * then in prefill. [action] is the sequence number of an action's key.
 */
data class Reservation(
    val lease: LeaseId,
    val service: ServiceId,
    val kind: WorkKind,
    val lengthClass: Int,
    val prompt: Tokens,
    val tokens: Tokens,
    val grouped: Boolean,
    val grantedAt: Moment,
    val holdSince: Moment,
    val hold: EngineHold = EngineHold.PLANNED,
    val absentReads: Int = 0,
    val handle: HandleId? = null,
    val prefilling: Boolean = true,
    val openedAt: Moment? = null,
    val prefilledTokensAtOpen: Long = 0,
    val action: Long? = null
) {
    /** Whether the engine works on it or may still do so. */
    val occupiesSlot: Boolean
        get() = hold != EngineHold.EXPORTED && hold != EngineHold.RELEASING

    /** Whether a model engine, not a plain service, does the work. */
    val onEngine: Boolean get() = kind == WorkKind.GENERATION || kind == WorkKind.SEGMENT

    internal fun withHold(next: EngineHold, now: Moment): Reservation =
        copy(hold = next, holdSince = now, absentReads = 0)
}
