package org.gypsumroute.core.admission

import org.gypsumroute.api.Tokens
import org.gypsumroute.core.peers.lengthClass

/** Capacity that one lease needs; its properties are those of [Reservation]. */
internal data class Demand(
    val lengthClass: Int,
    val prompt: Tokens,
    val tokens: Tokens,
    val grouped: Boolean,
    val plain: Boolean
)
