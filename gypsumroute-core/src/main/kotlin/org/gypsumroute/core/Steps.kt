package org.gypsumroute.core

import org.gypsumroute.api.Effect
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.LogField
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.Step

/** Applies [next] to the state of this step and appends its effects to those of this step. */
internal inline fun <S> Step<S>.then(next: (S) -> Step<S>): Step<S> {
    val following = next(state)
    return when {
        effects.isEmpty() -> following
        following.effects.isEmpty() -> Step(following.state, effects)
        else -> Step(following.state, effects + following.effects)
    }
}

/** Transforms the state and keeps the effects. */
internal inline fun <S, T> Step<S>.map(transform: (S) -> T): Step<T> =
    Step(transform(state), effects)

/** Applies [next] to each of [items] in order and collects the effects. */
internal inline fun <S, T> Step<S>.thenEach(items: Iterable<T>, next: (S, T) -> Step<S>): Step<S> {
    var step = this
    for (item in items) step = step.then { next(it, item) }
    return step
}

/** A step to this state with the given effects. */
internal fun <S> S.step(vararg effects: Effect): Step<S> = Step(this, effects.asList())

internal fun logEffect(event: LogEvent, vararg fields: Pair<String, Any?>): Effect =
    RuntimeEffect.Log(event, fields.map { (name, value) -> LogField(name, value.toString()) })
