package org.gypsumroute.clients

import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens

/**
 * A stream to open at an engine. The parts of [prompt] are sent in order as one body. [imports] are
 * handles of key-value caches at other engines, which the engine imports. With [export] the engine
 * ends after the prefill and returns a handle of its own cache.
 */
class EngineStreamRequest(
    val lease: LeaseId,
    val prompt: List<ByteArray>,
    val outputLimit: Tokens,
    val priority: Int,
    val imports: List<SegmentHandle> = emptyList(),
    val export: Boolean = false
)
