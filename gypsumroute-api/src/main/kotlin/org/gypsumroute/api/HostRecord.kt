package org.gypsumroute.api

/** One host of the platform's host list. The [pool] is null for entry hosts. */
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
