package org.gypsumroute.core.actions

/** Secret with which one agent process signs the action keys it issues; never logged or sent. */
@JvmInline
value class ActionSecret(val value: String) {
    override fun toString(): String = "(hidden)"
}
