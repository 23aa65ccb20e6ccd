package org.gypsumroute.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.Moment

/**
 * What this gateway knows of the others.
 *
 * [seeds] are addresses from the settings, [candidates] those that others named but that were not
 * heard yet, with the time of naming. [changeTimerSet] tells that own work changed and a report is
 * due.
 */
data class ExchangeState(
    val own: EndpointAddress,
    val seeds: List<EndpointAddress>,
    val members: PersistentMap<EndpointAddress, Member> = persistentMapOf(),
    val candidates: PersistentMap<EndpointAddress, Moment> = persistentMapOf(),
    val sequence: Long = 0,
    val lastReportSentAt: Moment = Moment.START,
    val changeTimerSet: Boolean = false
)

/** Another gateway, its latest report, and its latest load at each endpoint that it ever named. */
data class Member(
    val report: GatewayReport,
    val lastReportAt: Moment,
    val latestLoads: PersistentMap<EndpointId, EngineLoad>
)
