package org.gypsumroute.gateway

import java.net.InetSocketAddress
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.GatewayBounds
import org.gypsumroute.api.HostId
import org.gypsumroute.api.RegionId
import org.gypsumroute.runtime.LogFormat

/**
 * Settings of a gateway process. The gateway sends reports to other gateways from [exchangeAddress]
 * and discovers these gateways through [seeds], which may be out of date. If [readyAddress] or
 * [metricsAddress] is null, no port is opened for it. No more than [maxCallers] connections of
 * callers are kept open.
 */
data class GatewaySettings(
    val host: HostId,
    val region: RegionId,
    val dataCentre: DataCentreId,
    val callersAddress: InetSocketAddress,
    val readyAddress: InetSocketAddress?,
    val metricsAddress: InetSocketAddress?,
    val readyPath: String,
    val exchangeAddress: EndpointAddress,
    val seeds: List<EndpointAddress>,
    val bounds: GatewayBounds,
    val maxCallers: Int,
    val logFormat: LogFormat
)
