package org.gypsumroute.api

/** Idempotency key that an agent issued for one action; see docs/design.md, section 5.7. */
@JvmInline
value class ActionKey(val value: String) {
    override fun toString(): String = value
}
