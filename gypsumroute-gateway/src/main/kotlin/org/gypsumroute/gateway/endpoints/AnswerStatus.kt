/*
 * Statuses that a response may have. HTTP knows the classes 1xx to 5xx; a number outside of them
 * comes from an endpoint in trouble, and what its response says cannot be relied on.
 */
package org.gypsumroute.gateway.endpoints

/** Whether a response with this status can be the answer to a request. */
internal fun isFinalStatus(code: Int): Boolean = code in FINAL_STATUSES

/**
 * Whether a response with this status comes before the answer. A switch of protocols does not,
 * since the gateway asks for none: what follows it is no HTTP.
 */
internal fun isInterimStatus(code: Int): Boolean =
    code in INTERIM_STATUSES && code != SWITCHING_PROTOCOLS

private val INTERIM_STATUSES = 100..199
private val FINAL_STATUSES = 200..599
private const val SWITCHING_PROTOCOLS = 101
