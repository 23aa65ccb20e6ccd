package org.gypsumroute.api

/** One host of the platform's host list. [pool] is null for hosts of entries. */
data class HostRecord(
    val host: HostId,
    val role: NodeRole,
    val region: RegionId,
    val dataCentre: DataCentreId,
    val address: String,
    val port: Int,
    val pool: PoolId? = null,
    val leaving: Boolean = false
)
