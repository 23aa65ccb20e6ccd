package org.gypsumroute.core

import kotlin.random.Random
import org.gypsumroute.api.Event
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step

/**
 * The reducer of all roles with its recovery, where a random [share] of the events for which
 * [mayFail] holds fails with an exception.
 */
internal class FailingReducer(
    seed: Long,
    private val share: Double,
    private val mayFail: (Event) -> Boolean = ::isNoStartOrStop
) : (NodeState, Event) -> Step<NodeState> {
    private val random = Random(seed)

    override fun invoke(state: NodeState, event: Event): Step<NodeState> =
        reduceOrRecover(state, event) { before, input ->
            check(!mayFail(input) || random.nextDouble() >= share) { "injected" }
            reduce(before, input)
        }
}

/** A process that cannot start, or cannot begin a planned stop, ends or is ended. */
private fun isNoStartOrStop(event: Event): Boolean =
    event !is RuntimeEvent.Started && event !is RuntimeEvent.DrainRequested
