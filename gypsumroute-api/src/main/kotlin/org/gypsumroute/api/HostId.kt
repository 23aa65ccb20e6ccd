package org.gypsumroute.api

/** Name of a host in the platform's host list; unique in the fleet. */
@JvmInline
value class HostId(val value: String) {
    override fun toString(): String = value
}
