package org.gypsumroute.api

/**
 * Use of a service's engines through one gateway: by each of the [largest] organisations, and by
 * all [others] together. [activeOrganisations] counts both.
 */
data class ServiceUse(
    val service: ServiceId,
    val largest: Map<OrganisationDigest, EngineUse>,
    val others: EngineUse = EngineUse(),
    val activeOrganisations: Int = largest.size
)
