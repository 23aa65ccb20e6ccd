package org.gypsumroute.api

/** Result of reducing one event: the next state, and the effects to execute in this order. */
data class Step<out S>(val state: S, val effects: List<Effect> = emptyList())
