package org.gypsumroute.api

/** Result of one reduction: the next state and the effects to carry out, in order. */
data class Step<out S>(val state: S, val effects: List<Effect> = emptyList())
