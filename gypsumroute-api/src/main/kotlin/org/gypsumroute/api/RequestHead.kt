package org.gypsumroute.api

import kotlin.time.Duration

/**
 * The parts of a forwarded request that a gateway uses for its decisions.
 *
 * [callerRequestId] is the id that the caller gave the request. [timeout] is how long the caller
 * waits for the answer. [timeout], [promptTokens], [outputLimit] and [expectedOutput] are null if
 * the caller did not state them. [promptParts] are the parts of the prompt, in order, that other
 * requests may have too.
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
    val promptParts: List<PromptPartId> = emptyList()
)
