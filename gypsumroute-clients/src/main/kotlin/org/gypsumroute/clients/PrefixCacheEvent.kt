package org.gypsumroute.clients

import org.gypsumroute.api.PrefixDigest

/** A change of an engine's prefix cache. Gaps in [sequence] mean that changes were lost. */
data class PrefixCacheEvent(
    val sequence: Long,
    val added: List<PrefixDigest>,
    val removed: List<PrefixDigest>
)
