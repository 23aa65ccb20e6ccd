package org.gypsumroute.core

import org.gypsumroute.core.admission.estimateAtWarmSpeed
import org.gypsumroute.core.admission.shortestClassFirst
import org.gypsumroute.core.engine.growAtWarmSpeed
import org.gypsumroute.core.peers.expectedWait
import org.gypsumroute.core.requests.PlacementPolicies
import org.gypsumroute.core.requests.RetryPolicies
import org.gypsumroute.core.requests.retry

/** The policies that a process uses unless its settings choose others. */
val defaultPolicies = Policies(
    placement = PlacementPolicies.expectedWait,
    queueOrder = shortestClassFirst,
    ramp = growAtWarmSpeed,
    retry = RetryPolicies.budgeted,
    prefillEstimate = estimateAtWarmSpeed
)
