package org.gypsumroute.runtime

import kotlin.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.gypsumroute.api.RuntimeEvent.TimerFired
import org.gypsumroute.api.TimerId

/** The timers of a process. All functions must be called on the control thread. */
internal class Timers(private val scope: CoroutineScope, private val events: EventSink) {
    private val running = HashMap<TimerId, Job>()

    /** Number of timers that are set and have not been removed after firing. */
    val count: Int get() = running.size

    /** Starts or restarts a timer, which offers `TimerFired` once [after] has passed. */
    fun set(timer: TimerId, after: Duration) {
        cancel(timer)
        // An undispatched start saves a thread switch for each timer.
        running[timer] = scope.launch(start = CoroutineStart.UNDISPATCHED) {
            delay(after)
            events(TimerFired(timer))
        }
    }

    fun cancel(timer: TimerId) {
        running.remove(timer)?.cancel()
    }

    /** Removes a timer whose event has arrived, unless it has been set again in the meantime. */
    fun removeFired(timer: TimerId) {
        if (running[timer]?.isActive == false) running.remove(timer)
    }
}
