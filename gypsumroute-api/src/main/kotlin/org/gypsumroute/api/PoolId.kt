package org.gypsumroute.api

/** Name of a group of endpoints whose engines may serve the same set of services. */
@JvmInline
value class PoolId(val value: String) {
    override fun toString(): String = value
}
