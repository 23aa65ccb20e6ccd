/*
 * Statuses that a response may have. HTTP knows the classes 1xx to 5xx; a number outside of them
 * comes from an endpoint in trouble, and what its response says cannot be relied on.
 */
package org.gypsumroute.gateway.endpoints

import org.gypsumroute.api.HttpStatuses

/** Whether a response with this status can be the answer to a request. */
internal fun isFinalStatus(code: Int): Boolean = code in HttpStatuses.FINAL

/**
 * Whether a response with this status comes before the answer. A switch of protocols does not,
 * since the gateway asks for none: what follows it is no HTTP.
 */
internal fun isInterimStatus(code: Int): Boolean =
    code in HttpStatuses.INTERIM && code != SWITCHING_PROTOCOLS

private const val SWITCHING_PROTOCOLS = 101
