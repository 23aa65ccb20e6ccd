/*
 * What follows an event whose reduction failed with an exception. The state stays as it was before
 * the event. Whoever waits for the event would wait in vain, so a request ends with an error that
 * is true, a timer fires again, and a failed read is repeated.
 */
package org.gypsumroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Effect
import org.gypsumroute.api.Event
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.gateway.recoverGateway

/** Computes a step as [reducer] does, or the step that recovers from an exception of it. */
fun reduceOrRecover(
    state: NodeState,
    event: Event,
    reducer: (NodeState, Event) -> Step<NodeState> = ::reduce
): Step<NodeState> = try {
    reducer(state, event)
} catch (exception: RuntimeException) {
    recoverWithLog(state, event, exception)
}

private fun recoverWithLog(
    state: NodeState,
    event: Event,
    exception: RuntimeException
): Step<NodeState> {
    val log = failureLog(event, exception)
    return try {
        val recovery = recover(state, event)
        Step(recovery.state, listOf(log) + recovery.effects)
    } catch (second: RuntimeException) {
        Step(state, listOf(log, failureLog(event, second)))
    }
}

private fun recover(state: NodeState, event: Event): Step<NodeState> = when (state) {
    is GatewayState -> recoverGateway(state, event)
    is EntryState -> recoverEntry(state, event)
    is AgentState -> recoverCommon(state.common, event).map { state.copy(common = it) }
}

/** Recovers from the events that processes of all roles treat alike. */
internal fun recoverCommon(common: CommonState, event: Event): Step<CommonState> = when (event) {
    // Time must go on in any case, or no deadline would come.
    is RuntimeEvent.ClockRead -> reduceClock(common, event)

    is RuntimeEvent.TimerFired -> common.step(retryOf(event.timer))

    // Without its first reads and timers a process never does anything.
    is RuntimeEvent.Started -> common.step(RuntimeEffect.Exit(EXIT_START_FAILED))

    else -> common.step()
}

/** Lets a timer fire again for which something was due that could not be done. */
internal fun retryOf(timer: TimerId): Effect = RuntimeEffect.SetTimer(timer, RETRY_INTERVAL)

/** Class names only, because contents and exception messages may hold keys or prompt text. */
private fun failureLog(event: Event, exception: RuntimeException): Effect = logEffect(
    LogEvent.EFFECT_FAILED,
    "input" to event.javaClass.simpleName,
    "exception" to exception.javaClass.name,
    "at" to exception.stackTrace.firstOrNull()
)

/** Text of errors that tell a caller that its request could not be decided on. */
internal const val UNDECIDED = "the gateway failed to decide on the request"

private const val EXIT_START_FAILED = 1
private val RETRY_INTERVAL: Duration = 1.seconds
