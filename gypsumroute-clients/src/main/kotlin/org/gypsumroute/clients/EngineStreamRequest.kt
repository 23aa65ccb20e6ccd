package org.gypsumroute.clients

import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens

/** A stream to be opened. The [prompt] is sent as its parts follow each other. */
class EngineStreamRequest(
    val lease: LeaseId,
    val prompt: List<ByteArray>,
    val outputLimit: Tokens,
    val priority: Int,
    val imports: List<SegmentHandle> = emptyList(),
    val export: Boolean = false
)
