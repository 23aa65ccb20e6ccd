package org.gypsumroute.core.gateway

/**
 * What a placement at engines weighs. Costs are in units of [RequestSize.value]; shares lie between
 * 0 and 1.
 *
 * A late answer loses [lateLoss] of its value. An answer expected within [inTimeShare] of its limit
 * is counted as in time, beyond [lateShare] as late. [crowding] prices the wait that a backlog
 * means for later requests, for each second of it squared. [helper] is the cost of each further
 * engine, whose failure would fail the request. [order] prefers engines at one end of the shared
 * order, [away] those of the own data centre, and [packed] others than one whose slots are taken to
 * [packedShare]. [overlap] is the part of a backlog that falls into one pass of a new stream.
 */
data class PlacementCosts(
    val lateLoss: Double = 0.75,
    val inTimeShare: Double = 0.75,
    val lateShare: Double = 1.2,
    val crowding: Double = 2.0,
    val helper: Double = 0.004,
    val order: Double = 0.05,
    val away: Double = 0.003,
    val packed: Double = 0.02,
    val packedShare: Double = 0.9,
    val overlap: Double = 1.0,
    val firstPasses: Double = 1.5,
    val slotWait: Double = 1.0,
    val helpWeight: Double = 0.5,
    val delay: Double = 0.5,
    val patience: Double = 6.0
)
