package org.gypsumroute.api

/** Identifies one connection inside this process; never reused. */
@JvmInline
value class ConnectionId(val value: Long) {
    override fun toString(): String = value.toString()
}
