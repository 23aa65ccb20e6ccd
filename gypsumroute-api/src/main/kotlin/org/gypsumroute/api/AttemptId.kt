package org.gypsumroute.api

/** Identifies one attempt to serve a request at an endpoint; never reused by a process. */
@JvmInline
value class AttemptId(val value: Long) {
    override fun toString(): String = value.toString()
}
