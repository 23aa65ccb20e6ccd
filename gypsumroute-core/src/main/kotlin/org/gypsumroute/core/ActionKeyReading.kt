package org.gypsumroute.core

/** What an action key says. */
internal sealed interface ActionKeyReading {
    /** This agent process issued it for the order's service and organisation. */
    data class Own(val sequence: Long) : ActionKeyReading

    /** It names another process, whose records are not here. */
    data object Foreign : ActionKeyReading

    /** No agent issued it for this use. */
    data object Invalid : ActionKeyReading
}
