package org.gypsumroute.core.actions

import org.gypsumroute.api.Failure
import org.gypsumroute.api.LeaseId

/** The outcome of claiming the action key of an order for a lease. */
internal sealed interface ActionClaim {
    /**
     * The work may run. [sequence] is the sequence number in the action key, null if the work is
     * not an action.
     */
    data class Fresh(val sequence: Long?) : ActionClaim

    /** The action ran already; its answer is recorded under [recordedLease] and is sent again. */
    data class Replay(val recordedLease: LeaseId) : ActionClaim

    /** The action may not run, for the reason in [failure]. */
    data class Refused(val failure: Failure) : ActionClaim
}
