package org.gypsumroute.core

val defaultPolicies = Policies(
    placement = PlacementPolicies.expectedWait,
    queueOrder = shortestClassFirst,
    ramp = growAtWarmSpeed,
    retry = RetryPolicies.budgeted,
    prefillEstimate = atWarmSpeed
)
