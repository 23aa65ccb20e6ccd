package org.gypsumroute.entry.http

import kotlin.time.Duration

/**
 * Address and limits of the HTTP port for callers. [defaultUploadTimeout] limits how long a body
 * may take to arrive if the caller gives no timeout; a caller's timeout replaces it.
 */
internal data class CallersHttpSettings(
    val address: String,
    val port: Int,
    val maxBodyBytes: Long,
    val defaultUploadTimeout: Duration,
    val maxOpenRequests: Int
)
