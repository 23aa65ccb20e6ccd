package org.gypsumroute.api

/** Identifies a caller's request among the open requests of one entry or gateway. */
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}
