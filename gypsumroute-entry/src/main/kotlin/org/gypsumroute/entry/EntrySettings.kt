package org.gypsumroute.entry

import kotlin.time.Duration
import org.gypsumroute.api.Bytes
import org.gypsumroute.core.Policies
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.process.NodeSettings

/**
 * Settings of an entry. [largestBody] limits the body of one request, [openRequests] the number of
 * requests at a time, and [bufferedBytes] the memory for bodies and answers of all callers.
 * [bodyTime] limits how long a body may take to arrive if the caller gives no timeout.
 */
data class EntrySettings(
    val node: NodeSettings,
    val callersAddress: String,
    val callersPort: Int,
    val operatorsAddress: String,
    val operatorsPort: Int,
    val largestBody: Bytes,
    val bodyTime: Duration,
    val openRequests: Int,
    val bufferedBytes: Bytes,
    val policies: Policies = defaultPolicies
)
