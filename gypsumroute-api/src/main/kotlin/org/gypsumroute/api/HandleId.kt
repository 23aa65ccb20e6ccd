package org.gypsumroute.api

/** Identifies a key-value cache that an engine exported and still holds. */
@JvmInline
value class HandleId(val value: String) {
    override fun toString(): String = value
}
