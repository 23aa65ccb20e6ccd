package org.gypsumroute.systemtest

/** Processes of a fleet; each list of data centres has one element per process. */
internal class FleetPlan(
    /** Data centres of the model engines, each with its agent. */
    val engines: List<String> = listOf(THAMEL),
    /** Data centres of the plain services, each with its agent. */
    val plainServices: List<String> = emptyList(),
    val entries: List<String> = listOf(THAMEL),
    val engineOptions: List<String> = emptyList(),
    val plainServiceOptions: List<String> = emptyList(),
    val documents: Map<String, String> = mapOf(MENU_WRITER to menuWriter()),
    /** Names of agents that [ProcessFleet.start] does not start. */
    val startedByTest: Set<String> = emptySet(),
    val entryOptions: List<String> = emptyList()
)

internal const val THAMEL = "thamel"
internal const val PATAN = "patan"
