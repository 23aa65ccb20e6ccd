package org.gypsumroute.gateway

import io.netty.util.NetUtil

/**
 * Whether [host] is an IP address. An attempt may connect only to such a host: any other is looked
 * up as a name, which blocks the traffic of all requests for the time of the lookup.
 */
fun isNumericHost(host: String): Boolean =
    NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host)
