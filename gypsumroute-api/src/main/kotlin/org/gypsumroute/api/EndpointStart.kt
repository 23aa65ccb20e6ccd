package org.gypsumroute.api

/** Identifies one start of an endpoint: a digest of the endpoint's id and its start stamp. */
@JvmInline
value class EndpointStart(val value: Int)
