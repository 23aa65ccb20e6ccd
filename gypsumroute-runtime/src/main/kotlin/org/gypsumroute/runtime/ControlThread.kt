/*
 * The control thread. It takes events one at a time, lets the reducer compute the next state and
 * the effects, and executes the effects in order.
 */
package org.gypsumroute.runtime

import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.Event
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.LogField
import org.gypsumroute.api.Moment
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step
import org.gypsumroute.core.NodeState
import org.gypsumroute.core.reduceOrRecover

/**
 * Runs the reducer of one process on its own thread. The first event after [start] is `Started`.
 * Tests call [process] instead of [start], and [processQueued] for the events that are in the
 * mailbox.
 *
 * A `Moment` is the time since the creation of this object, measured by [timeSource]. [entropy]
 * returns a new random number for each event.
 */
class ControlThread(
    initial: NodeState,
    private val handlers: EffectHandlers,
    timeSource: TimeSource,
    private val entropy: () -> Long,
    timerScope: CoroutineScope,
    private val metrics: NodeMetrics,
    private val logger: EventLogger,
    val burnRates: BurnRateTracker = BurnRateTracker(timeSource),
    private val reducer: (NodeState, Event) -> Step<NodeState> = ::reduceOrRecover
) {
    private val origin = timeSource.markNow()
    private val mailbox = Mailbox<Event>()
    private val timers = Timers(timerScope, ::offer)
    private val runner = thread(start = false, name = "control", isDaemon = true) { run() }

    /** The current state. May be read from any thread, as the status page does. */
    @Volatile
    var state: NodeState = initial
        private set

    init {
        metrics.registerMailboxGauge { mailbox.size }
    }

    /** Puts an event into the mailbox. Never blocks. Events after [stop] are ignored. */
    fun offer(event: Event) {
        mailbox.offer(event)
    }

    /** Starts the thread, with `Started` as its first event. */
    fun start() {
        mailbox.offer(RuntimeEvent.Started)
        runner.start()
    }

    /** Lets the thread process the queued events and end. Waits at most five seconds for it. */
    fun stop() {
        mailbox.close()
        if (Thread.currentThread() !== runner && runner.isAlive) {
            runner.join(TimeUnit.SECONDS.toMillis(STOP_TIMEOUT_SECONDS))
        }
    }

    /** Applies a clock reading and then [event]. Called on the control thread or by a test. */
    fun process(event: Event) {
        val startedAt = origin.elapsedNow()
        val now = Moment(startedAt.inWholeMilliseconds)
        apply(RuntimeEvent.ClockRead(now, entropy()))
        if (event is RuntimeEvent.TimerFired) timers.removeFired(event.timer)
        apply(event)
        metrics.recordControlEvent(origin.elapsedNow() - startedAt)
    }

    /** Processes events, including those that they cause, until the mailbox is empty. For tests. */
    fun processQueued() {
        while (true) process(mailbox.poll() ?: return)
    }

    /**
     * Processes events until [stop]. The thread survives exceptions. A JVM error, such as a failed
     * class load, ends the process, because callers would wait in vain for a process without a
     * control thread.
     */
    private fun run() {
        try {
            while (true) process(mailbox.take() ?: return)
        } catch (error: Error) {
            logger.log(LogEvent.CONTROL_FAILED, listOf(LogField("error", error.javaClass.name)))
            handlers.exit(EXIT_CONTROL_FAILED)
        }
    }

    private fun apply(event: Event) {
        val step = try {
            reducer(state, event)
        } catch (exception: Exception) {
            return logFailure("input", event, exception)
        }
        state = step.state
        for (effect in step.effects) {
            try {
                execute(effect)
            } catch (exception: Exception) {
                logFailure("effect", effect, exception)
            }
        }
    }

    private fun execute(effect: Effect) = when (effect) {
        is RuntimeEffect -> executeRuntimeEffect(effect)
        is PlatformEffect -> handlers.platform(effect)
        is PeerEffect -> handlers.peer(effect)
        is CallerEffect -> handlers.caller(effect)
        is EngineEffect -> handlers.engine(effect)
        is PublishedEffect -> handlers.published(effect)
        is ForwardEffect -> handlers.forward(effect)
        is ExchangeEffect -> handlers.exchange(effect)
        is ReservationEffect -> handlers.reservation(effect)
    }

    private fun executeRuntimeEffect(effect: RuntimeEffect) = when (effect) {
        is RuntimeEffect.SetTimer -> timers.set(effect.timer, effect.after)

        is RuntimeEffect.CancelTimer -> timers.cancel(effect.timer)

        is RuntimeEffect.Log -> logger.log(effect.event, effect.fields)

        is RuntimeEffect.Count -> {
            metrics.count(effect)
            burnRates.count(effect, state.common.documents::inForce)
        }

        is RuntimeEffect.Observe -> {
            metrics.observe(effect)
            burnRates.observe(effect, state.common.documents::inForce)
        }

        is RuntimeEffect.SetReady -> handlers.setReady(effect.ready)

        is RuntimeEffect.Exit -> handlers.exit(effect.code)
    }

    /**
     * Logs class names only, because contents and exception messages may hold keys or prompt text.
     */
    private fun logFailure(fieldName: String, subject: Any, exception: Exception) = logger.log(
        LogEvent.EFFECT_FAILED,
        listOf(
            LogField(fieldName, subject.javaClass.simpleName),
            LogField("exception", exception.javaClass.name),
            LogField("at", exception.stackTrace.firstOrNull().toString())
        )
    )

    private companion object {
        const val STOP_TIMEOUT_SECONDS = 5L
        const val EXIT_CONTROL_FAILED = 1
    }
}
