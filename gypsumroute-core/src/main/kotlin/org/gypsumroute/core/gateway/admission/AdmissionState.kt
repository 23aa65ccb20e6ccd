package org.gypsumroute.core.gateway.admission

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RequestId
import org.gypsumroute.core.gateway.placement.ForwardChoice

/**
 * What a gateway keeps for admission. [waiting] names the requests whose records have a
 * [RequestWait], and [reviewAt] is the time of the next review, or null while none is set.
 */
data class AdmissionState(
    val waiting: PersistentSet<RequestId> = persistentSetOf(),
    val reviewAt: Moment? = null,
    val refusals: RefusalShares = RefusalShares()
)

/**
 * The wait of a request at the gateway since [since]. It is reviewed at [reviewAt], and sent by
 * [latestStart] in any case; [choice] was made by the latest placement.
 */
data class RequestWait(
    val since: Moment,
    val reviewAt: Moment,
    val latestStart: Moment,
    val choice: ForwardChoice
) {
    /** Time that engines need to read the prompt, summed over those that read a part. */
    val work: Duration get() = engineTime(choice)
}

/** Time that engines need for the choice, summed over those that read a part of the prompt. */
internal fun engineTime(choice: ForwardChoice): Duration = choice.prefillTime * readersOf(choice)

/** Number of engines that read a part of the prompt. */
internal fun readersOf(choice: ForwardChoice): Int = 1 + choice.helpers.size
