package org.gypsumroute.core.gateway.placement

/**
 * Weights and costs of a placement on engines. Costs are in units of [RequestSize.value]; shares
 * lie between 0 and 1.
 *
 * A late answer loses [lateLoss] of its value. An answer whose expected time is up to [inTimeRatio]
 * times its limit counts as in time, from [lateRatio] times on as late, and linearly in between.
 * The rest of the value is lost if the first byte is expected only at [abandonRatio] times the
 * objective, or after the deadline; before that, a part that grows with the square of the wait.
 *
 * [backlogCost] prices the wait that a backlog causes for later requests, for each second of it
 * squared. [helperCost] is the cost of each further engine, whose failure would fail the request;
 * [delayWeight] weighs the delay that its own prompts suffer from the part. [orderCost] prefers
 * engines at one end of the shared order, [remoteDataCentreCost] those of the own data centre, and
 * [nearlyFullCost], for short prompts, engines on which fewer than [nearlyFullShare] of the slots
 * are taken by requests that decode.
 *
 * The other members weigh parts of expected times: [backlogOverlap] is the part of a backlog that
 * falls into one pass of a new stream, [firstBytePasses] the passes from the end of the reading to
 * the first byte, [slotWaitWeight] applies to the wait for a slot and [helperShareWeight] to the
 * share of time that an engine spends on parts for others.
 */
data class PlacementCosts(
    val lateLoss: Double = 0.75,
    val inTimeRatio: Double = 0.75,
    val lateRatio: Double = 1.2,
    val backlogCost: Double = 2.0,
    val helperCost: Double = 0.004,
    val orderCost: Double = 0.05,
    val remoteDataCentreCost: Double = 0.003,
    val nearlyFullCost: Double = 0.02,
    val nearlyFullShare: Double = 0.9,
    val backlogOverlap: Double = 1.0,
    val firstBytePasses: Double = 1.5,
    val slotWaitWeight: Double = 1.0,
    val helperShareWeight: Double = 0.5,
    val delayWeight: Double = 0.5,
    val abandonRatio: Double = 6.0
)
