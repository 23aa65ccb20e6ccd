package org.gypsumroute.agent
fun runAgent(settings: AgentSettings): Int = TODO("$settings")
