package org.gypsumroute.api

/** Name of a service; one service document governs it. */
@JvmInline
value class ServiceId(val value: String) {
    override fun toString(): String = value
}
