package org.gypsumroute.api

/** Identifies one caller request; unique among the requests an entry holds. */
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}
