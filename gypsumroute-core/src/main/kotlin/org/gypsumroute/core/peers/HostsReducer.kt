/*
 * Stores the host list that was read last. Working connections stay open even if the list is stale,
 * cannot be read or no longer names the host.
 */
package org.gypsumroute.core.peers

import kotlinx.collections.immutable.toPersistentMap
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.step

internal fun reduceHostsRead(
    common: CommonState,
    event: PlatformEvent.HostsRead
): Step<CommonState> = common.copy(hosts = event.hosts.associateBy { it.host }.toPersistentMap())
    .step(PlatformEffect.ReadHosts)

internal fun reduceHostsUnavailable(
    common: CommonState,
    event: PlatformEvent.HostsUnavailable
): Step<CommonState> = common.step(
    logEffect(LogEvent.HOST_LIST_UNAVAILABLE, "cause" to event.cause),
    RuntimeEffect.SetTimer(TimerId.HostListRead, common.timings.hostListBackoff)
)

/** Whether the host list shows the host as leaving; a host that is not listed is not leaving. */
internal fun isLeaving(common: CommonState, host: HostId): Boolean =
    common.hosts[host]?.leaving == true
