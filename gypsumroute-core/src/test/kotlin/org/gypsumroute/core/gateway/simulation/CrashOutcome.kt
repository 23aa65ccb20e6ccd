package org.gypsumroute.core.gateway.simulation

import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.gypsumroute.api.PromptPartId

/** What happened in a simulation. Times are in milliseconds. */
internal class CrashOutcome {
    /** Times at which endpoints crashed, by the part that they crashed under. */
    val crashes = HashMap<PromptPartId, ArrayList<Double>>()

    /** Times at which requests were sent to endpoints, by the crashing part that they have. */
    val crashingSends = HashMap<PromptPartId, ArrayList<Double>>()

    /** Sound requests of each organisation, and those of them that were refused for a part. */
    val soundArrived = HashMap<Int, Int>()
    val soundBlocked = HashMap<Int, Int>()
    var soundServed = 0

    /** The most parts that a gateway held evidence of. */
    var mostParts = 0

    fun crashesUnder(part: PromptPartId): List<Double> = crashes[part].orEmpty()

    /** Requests with [part] that were sent later than [wait] after the fifth crash under it. */
    fun sentAfterFifthCrash(part: PromptPartId, wait: Duration): Int {
        val fifth = crashesUnder(part).getOrNull(FIFTH) ?: return 0
        val from = fifth + wait.toDouble(DurationUnit.MILLISECONDS)
        return crashingSends[part].orEmpty().count { it > from }
    }

    private companion object {
        const val FIFTH = 4
    }
}
