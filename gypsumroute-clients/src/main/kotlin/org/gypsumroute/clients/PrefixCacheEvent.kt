package org.gypsumroute.clients

import org.gypsumroute.api.PrefixDigest

/**
 * A change of an engine's prefix cache: digests of the prefixes [added] and [removed]. A gap
 * between the [sequence] numbers of two events means that changes were lost.
 */
data class PrefixCacheEvent(
    val sequence: Long,
    val added: List<PrefixDigest>,
    val removed: List<PrefixDigest>
)
