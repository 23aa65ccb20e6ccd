package org.gypsumroute.core

/** What an action key says. */
internal sealed interface ActionKeyVerification {
    /** This agent process issued it for the order's service and organisation. */
    data class IssuedHere(val sequence: Long) : ActionKeyVerification

    /** It names another process, whose records are not here. */
    data object IssuedElsewhere : ActionKeyVerification

    /** No agent issued it for this use. */
    data object Invalid : ActionKeyVerification
}
