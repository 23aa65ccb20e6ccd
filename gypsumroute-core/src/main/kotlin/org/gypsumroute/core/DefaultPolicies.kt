package org.gypsumroute.core

/** The policies that a process uses unless its settings choose others. */
val defaultPolicies = Policies(
    placement = PlacementPolicies.expectedWait,
    queueOrder = shortestClassFirst,
    ramp = growAtWarmSpeed,
    retry = RetryPolicies.budgeted,
    prefillEstimate = estimateAtWarmSpeed
)
