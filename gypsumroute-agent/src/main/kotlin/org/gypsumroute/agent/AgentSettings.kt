package org.gypsumroute.agent

import org.gypsumroute.api.PoolId
import org.gypsumroute.core.Policies
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.process.NodeSettings

/** Settings of an agent. */
data class AgentSettings(
    val node: NodeSettings,
    val pool: PoolId,
    val listenAddress: String,
    val listenPort: Int,
    val backEnd: BackEnd,
    val policies: Policies = defaultPolicies
)
