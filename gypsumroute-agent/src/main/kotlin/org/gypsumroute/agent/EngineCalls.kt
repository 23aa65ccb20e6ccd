package org.gypsumroute.agent

import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId

internal class EngineCalls {
    fun open(effect: EngineEffect.OpenStream, work: LeaseWork): Unit = TODO("$effect $work")
    fun prefill(effect: EngineEffect.PrefillSegment, work: LeaseWork): Unit = TODO("$effect $work")
    fun cancel(lease: LeaseId): Unit = TODO("$lease")
    fun release(handle: HandleId): Unit = TODO("$handle")
    fun load(effect: EngineEffect.LoadModel): Unit = TODO("$effect")
    fun readState(): Unit = TODO()
}
