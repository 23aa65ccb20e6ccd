package org.gypsumroute.runtime

import kotlin.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.gypsumroute.api.RuntimeEvent.TimerFired
import org.gypsumroute.api.TimerId

/** The running timers. All functions are called on the control thread. */
internal class Timers(private val scope: CoroutineScope, private val sink: EventSink) {
    private val running = HashMap<TimerId, Job>()

    /** Timers that are set and not yet reported as fired. */
    val count: Int get() = running.size

    fun set(timer: TimerId, after: Duration) {
        cancel(timer)
        // Starting undispatched saves a thread change for each timer.
        running[timer] = scope.launch(start = CoroutineStart.UNDISPATCHED) {
            delay(after)
            sink(TimerFired(timer))
        }
    }

    fun cancel(timer: TimerId) {
        running.remove(timer)?.cancel()
    }

    /** Drops a timer whose event arrived, unless it was set again since. */
    fun forget(timer: TimerId) {
        if (running[timer]?.isActive == false) running.remove(timer)
    }
}
