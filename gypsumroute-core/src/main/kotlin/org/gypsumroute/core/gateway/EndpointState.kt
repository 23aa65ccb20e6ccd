package org.gypsumroute.core.gateway

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EndpointRecord
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.Tokens

/**
 * One published endpoint and this gateway's work there. Cold until [coldUntil].
 */
data class EndpointState(
    val record: EndpointRecord,
    val coldUntil: Moment,
    val work: PersistentMap<RequestId, EndpointWork> = persistentMapOf(),
    val health: EndpointHealth = EndpointHealth(),
    val coldSends: SendWindow = SendWindow()
)

/**
 * A request's part of the work at one endpoint. [readTime] is what the endpoint still had to read
 * when the work was sent at [sentAt]; a helper only reads. [context] is held until the end.
 */
data class EndpointWork(
    val sentAt: Moment,
    val readTime: Duration,
    val context: Tokens,
    val helping: Boolean,
    val writing: Boolean
)
