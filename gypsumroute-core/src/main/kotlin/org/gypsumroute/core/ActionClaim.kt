package org.gypsumroute.core

import org.gypsumroute.api.Failure
import org.gypsumroute.api.LeaseId

/** Whether and how an action may run under a lease. */
internal sealed interface ActionClaim {
    /** It may run; [sequence] is null if the work is no action. */
    data class Fresh(val sequence: Long?) : ActionClaim

    /** It ran; its answer is kept under [recordedLease]. */
    data class Replay(val recordedLease: LeaseId) : ActionClaim

    /** It may not run. */
    data class Refused(val failure: Failure) : ActionClaim
}
