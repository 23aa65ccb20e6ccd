package org.gypsumroute.api

/** Identifies one connection of this process; never reused while the process runs. */
@JvmInline
value class ConnectionId(val value: Long) {
    override fun toString(): String = value.toString()
}
