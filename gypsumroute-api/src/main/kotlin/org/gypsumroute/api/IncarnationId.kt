package org.gypsumroute.api

/** Identifies one run of a process or engine; each restart gets a new value. */
@JvmInline
value class IncarnationId(val value: String) {
    override fun toString(): String = value
}
