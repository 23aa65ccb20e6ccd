package org.gypsumroute.core

/** How far an action has come. */
enum class ActionPhase {
    /** A lease for it is granted; the plain service has not been called. */
    CLAIMED,

    /** The plain service has been called. */
    RUNNING,

    /** The plain service answered; the answer is kept. */
    DONE,

    /** The call broke after it may have reached the plain service. */
    UNKNOWN
}
