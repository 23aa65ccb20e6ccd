package org.gypsumroute.core

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.GatewayBounds
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.gateway.admission.AdmissionState
import org.gypsumroute.core.gateway.attempts.ForwardRecord
import org.gypsumroute.core.gateway.attempts.RetryBudget
import org.gypsumroute.core.gateway.crashes.CrashEvidence
import org.gypsumroute.core.gateway.endpoints.EndpointStart
import org.gypsumroute.core.gateway.endpoints.EndpointState
import org.gypsumroute.core.gateway.endpoints.LeavingMark
import org.gypsumroute.core.gateway.exchange.ExchangeState
import org.gypsumroute.core.gateway.placement.GatewayPolicies
import org.gypsumroute.core.gateway.records.PublishedState
import org.gypsumroute.core.gateway.shares.SharesState

/**
 * State of a gateway, an entry without agents. A gateway forwards requests unchanged to the
 * endpoints of the published records.
 *
 * The process started at [startedAt]. [leaving] are the endpoints that said that they leave, and
 * [pauses] tells until when starts of endpoints want nothing from this gateway; both outlive the
 * records. [renewalTimerSet] tells whether a timer is set for the renewal of reservations.
 *
 * A planned stop began at [drainStartedAt], accepts new requests until [acceptsUntil] and ends open
 * requests at [drainEndsAt]; all are null without one. [refusingNew] tells whether requests that
 * wait for memory were refused as well.
 */
data class GatewayState(
    override val common: CommonState,
    val bounds: GatewayBounds,
    val policies: GatewayPolicies,
    val exchange: ExchangeState,
    val startedAt: UnixTime,
    val published: PublishedState = PublishedState(),
    val endpoints: PersistentMap<EndpointId, EndpointState> = persistentMapOf(),
    val requests: PersistentMap<RequestId, ForwardRecord> = persistentMapOf(),
    val retryBudgets: PersistentMap<ServiceId, RetryBudget> = persistentMapOf(),
    val admission: AdmissionState = AdmissionState(),
    val crashes: CrashEvidence = CrashEvidence(),
    val shares: SharesState = SharesState(),
    val leaving: PersistentMap<EndpointId, LeavingMark> = persistentMapOf(),
    val pauses: PersistentMap<EndpointStart, Moment> = persistentMapOf(),
    val nextAttempt: Long = 1,
    val renewalTimerSet: Boolean = false,
    val drainStartedAt: Moment? = null,
    val acceptsUntil: Moment? = null,
    val drainEndsAt: Moment? = null,
    val refusingNew: Boolean = false
) : NodeState
