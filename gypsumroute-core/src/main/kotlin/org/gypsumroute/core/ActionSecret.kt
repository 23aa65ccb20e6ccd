package org.gypsumroute.core

/** Secret of one agent process that signs the action keys it issues; never logged or sent. */
@JvmInline
value class ActionSecret(val value: String) {
    override fun toString(): String = "(hidden)"
}
