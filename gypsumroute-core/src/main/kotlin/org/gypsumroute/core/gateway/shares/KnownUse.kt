package org.gypsumroute.core.gateway.shares

import kotlin.time.Duration
import org.gypsumroute.api.EngineUse
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.ServiceUse

/** Use of a service that this gateway knows of: its [own], and that in [reports] of others. */
internal class KnownUse(
    private val own: Map<OrganisationDigest, EngineUse>,
    private val reports: List<ServiceUse>
) {
    private val byOrganisation = HashMap(own).apply { addReported() }

    /** Use that gateways reported for several organisations together. */
    private val others = reports.fold(EngineUse()) { sum, report -> sum + report.others }

    /** Engine time that other gateways admitted each of their largest organisations for. */
    val usedElsewhere: Map<OrganisationDigest, Duration> =
        HashMap<OrganisationDigest, EngineUse>().apply { addReported() }
            .mapValues { it.value.admitted }

    /**
     * The largest fair share of the time of [engines]. A single organisation may take all of it.
     *
     * Organisations that were reported together are small, so their demand is met first. If they
     * are many they could take everything, but an equal part of the capacity is fair in any case.
     */
    fun fairShare(engines: Int): Duration {
        val organisations = maxOf(byOrganisation.size, reports.maxOfOrZero())
        val admitted = byOrganisation.values.fold(others) { sum, use -> sum + use }.admitted
        if (organisations < 2 || admitted == Duration.ZERO) return Duration.INFINITE
        val capacity = minOf(admitted, USE_TIME_CONSTANT * engines.coerceAtLeast(1))
        val left = (capacity - others.demand).coerceAtLeast(Duration.ZERO)
        return maxOf(
            fairShare(byOrganisation.values.map { it.demand }, left),
            capacity / organisations
        )
    }

    private fun HashMap<OrganisationDigest, EngineUse>.addReported() {
        for (report in reports) {
            for ((organisation, use) in report.largest) merge(organisation, use, EngineUse::plus)
        }
    }

    private fun List<ServiceUse>.maxOfOrZero(): Int = maxOfOrNull { it.activeOrganisations } ?: 0
}
