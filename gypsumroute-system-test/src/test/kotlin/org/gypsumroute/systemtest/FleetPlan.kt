package org.gypsumroute.systemtest

/** What a fleet consists of; each data centre in a list stands for one process. */
internal class FleetPlan(
    /** One model engine with its agent for each. */
    val engines: List<String> = listOf(THAMEL),
    /** One plain service with its agent for each. */
    val plainServices: List<String> = emptyList(),
    val entries: List<String> = listOf(THAMEL),
    val engineOptions: List<String> = emptyList(),
    val plainServiceOptions: List<String> = emptyList(),
    val documents: Map<String, String> = mapOf(MENU_WRITER to menuWriter()),
    /** Agents that the test starts itself. */
    val startedLater: Set<String> = emptySet(),
    val entryOptions: List<String> = emptyList()
)

internal const val THAMEL = "thamel"
internal const val PATAN = "patan"
