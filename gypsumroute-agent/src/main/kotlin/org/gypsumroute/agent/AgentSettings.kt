package org.gypsumroute.agent

import org.gypsumroute.api.PoolId
import org.gypsumroute.core.Policies
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.process.NodeSettings

/**
 * Settings of an agent. It is a member of [pool], accepts connections of entries at [listenAddress]
 * and [listenPort], and passes their work to [backEnd].
 */
data class AgentSettings(
    val node: NodeSettings,
    val pool: PoolId,
    val listenAddress: String,
    val listenPort: Int,
    val backEnd: BackEnd,
    val policies: Policies = defaultPolicies
)
