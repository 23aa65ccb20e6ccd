package org.gypsumroute.core.actions

/** The result of checking an action key at an agent. */
internal sealed interface ActionKeyVerification {
    /** This agent process issued the key for the order's service and organisation. */
    data class IssuedHere(val sequence: Long) : ActionKeyVerification

    /** The key names another agent process, whose action records this process does not have. */
    data object IssuedElsewhere : ActionKeyVerification

    /**
     * The key is malformed, or its signature does not match the order: this process did not issue
     * it for the service and organisation.
     */
    data object Invalid : ActionKeyVerification
}
