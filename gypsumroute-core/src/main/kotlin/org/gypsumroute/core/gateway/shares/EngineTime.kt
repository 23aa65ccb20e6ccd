package org.gypsumroute.core.gateway.shares

import kotlin.time.Duration
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.gateway.placement.EngineModel
import org.gypsumroute.core.gateway.placement.RequestSize

/**
 * Time that an engine spends on a request: the prefill of its prompt, and its part of the passes of
 * a full batch in which its answer is decoded.
 */
internal fun engineTimeOf(size: RequestSize, profile: EngineProfile): Duration {
    val model = EngineModel(profile)
    val shareOfPass = model.passTime(model.slots, 0) / model.slots.coerceAtLeast(1)
    val contextTime = model.passTime(0, size.context) - model.passTime(0, 0)
    return model.prefillTime(Tokens(size.prompt)) +
        model.decodeTime(Tokens(size.output), shareOfPass + contextTime)
}
