package org.gypsumroute.core

/** The policies of a real process. */
val defaultPolicies = Policies(
    placement = PlacementPolicies.expectedWait,
    queueOrder = shortestClassFirst,
    ramp = growAtWarmSpeed,
    retry = RetryPolicies.budgeted,
    prefillEstimate = estimateAtWarmSpeed
)
