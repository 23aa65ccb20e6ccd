package org.gypsumroute.capacity

import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.Effect
import org.gypsumroute.api.Event
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.NodeState
import org.gypsumroute.core.reduce

/** The state of a benchmarked process. The effects of events are returned and not run. */
internal class SampleProcess(var state: NodeState) {
    private var now = Moment.START

    /** Advances the clock by 1 ms and applies [event]; returns its effects. */
    fun feed(event: Event): List<Effect> {
        now += 1.milliseconds
        state = reduce(state, RuntimeEvent.ClockRead(now, now.milliseconds * ENTROPY_FACTOR)).state
        val step = reduce(state, event)
        state = step.state
        return step.effects
    }

    private companion object {
        const val ENTROPY_FACTOR = 2_654_435_761L
    }
}
