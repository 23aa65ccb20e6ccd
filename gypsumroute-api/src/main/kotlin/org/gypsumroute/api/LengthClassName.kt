package org.gypsumroute.api

/** Name of a length class, such as `short`. */
@JvmInline
value class LengthClassName(val value: String) {
    override fun toString(): String = value
}
