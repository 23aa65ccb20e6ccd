package org.gypsumroute.api

/**
 * A key-value cache that holds [tokens] tokens, exported by the engine at [engineAddress] (host and
 * port).
 */
data class SegmentHandle(val handle: HandleId, val engineAddress: String, val tokens: Tokens)
