/*
 * What a gateway reports of the use of engines by organisations.
 */
package org.gypsumroute.core.gateway.shares

import org.gypsumroute.api.EngineUse
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceUse

/**
 * The largest users of the services that are short of capacity. Reports stay small: all services
 * together list at most [MAX_REPORTED_ORGANISATIONS].
 */
internal fun reportedUse(services: Map<ServiceId, ServiceShares>, now: Moment): List<ServiceUse> {
    val short = services.filterValues { now < it.shortUntil && it.accounts.isNotEmpty() }
        .map { (service, shares) -> service to shares.accounts.mapValues { it.value.useAt(now) } }
    if (short.isEmpty()) return emptyList()
    val listed = (MAX_REPORTED_ORGANISATIONS / short.size).coerceAtLeast(1)
    return short.sortedByDescending { (_, uses) -> totalOf(uses.values).demand }
        .take(MAX_REPORTED_ORGANISATIONS)
        .map { (service, uses) -> useOf(service, uses, listed) }
}

private fun useOf(
    service: ServiceId,
    uses: Map<OrganisationDigest, EngineUse>,
    listed: Int
): ServiceUse {
    val bySize = uses.entries.sortedByDescending { it.value.demand }
    return ServiceUse(
        service = service,
        largest = bySize.take(listed).associate { it.key to it.value },
        others = totalOf(bySize.drop(listed).map { it.value }),
        activeOrganisations = uses.size
    )
}

private fun totalOf(uses: Collection<EngineUse>): EngineUse =
    uses.fold(EngineUse(), EngineUse::plus)

internal const val MAX_REPORTED_ORGANISATIONS = 4
