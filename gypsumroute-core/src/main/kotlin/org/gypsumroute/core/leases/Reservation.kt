package org.gypsumroute.core.leases

import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.engine.EngineHold
import org.gypsumroute.core.peers.lengthClass

/**
 * Engine memory and a slot that are reserved for one lease.
 *
 * [lengthClass] is the position of the length class in the document. [tokens] is the memory for
 * prompt and output in tokens, zero for plain services. [openedAt] is the time at which the engine
 * got the work. [holdSince] is the time at which the current [hold] began, and [absentReads] the
 * number of consecutive state reads sent after it that did not list the work.
 * [prefilledTokensAtOpen] is the number of prompt tokens handed to the engine before this work,
 * less those then in prefill. [action] is the sequence number in an action's key.
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
    /** Whether the engine works on the lease or may still do so. */
    val occupiesSlot: Boolean
        get() = hold != EngineHold.EXPORTED && hold != EngineHold.RELEASING

    /** Whether a model engine does the work, as opposed to a plain service. */
    val onEngine: Boolean get() = kind == WorkKind.GENERATION || kind == WorkKind.SEGMENT

    internal fun withHold(next: EngineHold, now: Moment): Reservation =
        copy(hold = next, holdSince = now, absentReads = 0)
}
