package org.gypsumroute.core.actions

/** Progress of an action, which runs at most once. */
enum class ActionPhase {
    /** A lease for the action is granted; the plain service has not been called yet. */
    CLAIMED,

    /** The plain service has been called. */
    RUNNING,

    /** The plain service answered; the answer is stored for repeats of the request. */
    DONE,

    /** The call failed after it may have reached the plain service. */
    UNKNOWN
}
