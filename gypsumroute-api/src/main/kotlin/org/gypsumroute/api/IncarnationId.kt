package org.gypsumroute.api

/** Identifies one run of a process or engine; a restart yields a new value. */
@JvmInline
value class IncarnationId(val value: String) {
    override fun toString(): String = value
}
