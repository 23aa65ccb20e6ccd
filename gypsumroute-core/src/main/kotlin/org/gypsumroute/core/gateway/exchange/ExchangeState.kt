package org.gypsumroute.core.gateway.exchange

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.Moment

/**
 * What this gateway knows of the other gateways.
 *
 * [seeds] are the addresses from the settings. [members] are the gateways whose reports arrive.
 * [discovered] are addresses that members listed but from which no report has arrived, with the
 * time of the listing. [changeTimerSet] tells that this gateway's work changed and that a timer is
 * set for the report of it.
 */
data class ExchangeState(
    val ownAddress: EndpointAddress,
    val seeds: List<EndpointAddress>,
    val members: PersistentMap<EndpointAddress, Member> = persistentMapOf(),
    val discovered: PersistentMap<EndpointAddress, Moment> = persistentMapOf(),
    val sequence: Long = 0,
    val lastReportSentAt: Moment = Moment.START,
    val changeTimerSet: Boolean = false
)

/**
 * Another gateway: its latest report, received at [lastReportAt], and the load that it reported
 * last for each endpoint, also for endpoints that the latest report no longer lists.
 * [stoppingSince] is the time since which it reports that it is not ready although it was, or null.
 */
data class Member(
    val report: GatewayReport,
    val lastReportAt: Moment,
    val latestLoads: PersistentMap<EndpointId, EngineLoad>,
    val stoppingSince: Moment? = null
)
