package org.gypsumroute.api

import kotlin.time.Duration

/**
 * What a gateway decides on of a forwarded request. [callerRequestId] is the caller's own id for it.
 * [timeout] is how long the caller waits. [promptTokens], [outputLimit] and [expectedOutput] are
 * null if the caller did not say. [resumed] marks a stream that the caller goes on reading.
 */
data class RequestHead(
    val callerRequestId: String,
    val hostName: String,
    val path: String,
    val keyDigest: String?,
    val timeout: Duration?,
    val promptTokens: Tokens?,
    val outputLimit: Tokens?,
    val expectedOutput: Tokens?,
    val resumed: Boolean
)
