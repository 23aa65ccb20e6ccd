/*
 * The control thread: takes events one by one, asks the reducer for the next state and carries out
 * the effects in order.
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
import org.gypsumroute.core.reduce

/**
 * Runs one process's reducer. [start] feeds `Started` first. Tests call [process] instead of
 * [start] and drain waiting events with [processWaiting].
 *
 * Moments count from the creation of this object on [timeSource].
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
    private val reducer: (NodeState, Event) -> Step<NodeState> = ::reduce
) {
    private val origin = timeSource.markNow()
    private val mailbox = Mailbox<Event>()
    private val timers = Timers(timerScope, ::offer)
    private val runner = thread(start = false, name = "control", isDaemon = true) { run() }

    /** The latest state; read from any thread for the status page. */
    @Volatile
    var state: NodeState = initial
        private set

    init {
        metrics.watchMailbox { mailbox.size }
    }

    /** Queues an event; never blocks. Ignored after [stop]. */
    fun offer(event: Event) {
        mailbox.offer(event)
    }

    /** Starts the thread; its first event is `Started`. */
    fun start() {
        mailbox.offer(RuntimeEvent.Started)
        runner.start()
    }

    /** Processes the events that wait, then ends the thread; waits for that for a few seconds. */
    fun stop() {
        mailbox.close()
        if (Thread.currentThread() !== runner && runner.isAlive) {
            runner.join(TimeUnit.SECONDS.toMillis(STOP_SECONDS))
        }
    }

    /** Feeds a clock reading and then [event]. Called by the control thread or by a test. */
    fun process(event: Event) {
        val begin = origin.elapsedNow()
        val now = Moment(begin.inWholeMilliseconds)
        apply(RuntimeEvent.ClockRead(now, entropy()))
        if (event is RuntimeEvent.TimerFired) timers.forget(event.timer)
        apply(event)
        metrics.controlEvent(origin.elapsedNow() - begin)
    }

    /** Processes all events that wait now, including those that they cause. For tests. */
    fun processWaiting() {
        while (true) process(mailbox.poll() ?: return)
    }

    /**
     * Exceptions leave the thread running; an error such as a failed class load does not, and a
     * process that no longer decides would leave its callers waiting, so it ends.
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
                carryOut(effect)
            } catch (exception: Exception) {
                logFailure("effect", effect, exception)
            }
        }
    }

    private fun carryOut(effect: Effect) = when (effect) {
        is RuntimeEffect -> carryOutOwn(effect)
        is PlatformEffect -> handlers.platform(effect)
        is PeerEffect -> handlers.peer(effect)
        is CallerEffect -> handlers.caller(effect)
        is EngineEffect -> handlers.engine(effect)
        is PublishedEffect -> handlers.published(effect)
        is ForwardEffect -> handlers.forward(effect)
        is ExchangeEffect -> handlers.exchange(effect)
        is ReservationEffect -> handlers.reservation(effect)
    }

    private fun carryOutOwn(effect: RuntimeEffect) = when (effect) {
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

    /** Names the kinds only: contents and exception messages may hold keys or prompt text. */
    private fun logFailure(role: String, subject: Any, exception: Exception) = logger.log(
        LogEvent.EFFECT_FAILED,
        listOf(
            LogField(role, subject.javaClass.simpleName),
            LogField("exception", exception.javaClass.name),
            LogField("at", exception.stackTrace.firstOrNull().toString())
        )
    )

    private companion object {
        const val STOP_SECONDS = 5L
        const val EXIT_CONTROL_FAILED = 1
    }
}
