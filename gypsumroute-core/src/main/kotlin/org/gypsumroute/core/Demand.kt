package org.gypsumroute.core

import org.gypsumroute.api.Tokens

/** What one lease needs; see [Reservation]. */
internal data class Demand(
    val lengthClass: Int,
    val prompt: Tokens,
    val tokens: Tokens,
    val grouped: Boolean,
    val plain: Boolean
)
