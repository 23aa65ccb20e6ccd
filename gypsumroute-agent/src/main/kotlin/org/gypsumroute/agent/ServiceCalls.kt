package org.gypsumroute.agent

import org.gypsumroute.api.EngineEffect

internal class ServiceCalls {
    fun call(effect: EngineEffect.CallService, work: LeaseWork): Unit = TODO("$effect $work")
}
