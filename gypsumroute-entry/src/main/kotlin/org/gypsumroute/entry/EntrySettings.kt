package org.gypsumroute.entry

import kotlin.time.Duration
import org.gypsumroute.api.Bytes
import org.gypsumroute.core.Policies
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.process.NodeSettings

/**
 * Settings of an entry. [bodyTime] limits an upload when the caller gives no timeout, and
 * [bufferedBytes] the bodies and answers held for all callers.
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
