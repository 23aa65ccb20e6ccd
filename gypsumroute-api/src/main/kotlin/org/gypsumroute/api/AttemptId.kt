package org.gypsumroute.api

/** Identifies one attempt to serve a request at an endpoint; a process never reuses it. */
@JvmInline
value class AttemptId(val value: Long) {
    override fun toString(): String = value.toString()
}
