package org.gypsumroute.measure

/**
 * Processes of a fleet and their options. Each data centre has [agentsPerDataCentre] agents with
 * one engine each.
 */
internal data class FleetPlan(
    val dataCentres: List<String> = listOf("thamel"),
    val agentsPerDataCentre: Int = 4,
    val entries: Int = 2,
    val engine: EngineSize = EngineSize(),
    val document: ServiceDocumentText = ServiceDocumentText(),
    val entryOptions: List<String> = emptyList(),
    val agentOptions: List<String> = emptyList()
)

/**
 * Options of each engine stand-in. The prefix cache is disabled, so that every prompt is prefilled
 * completely.
 */
internal data class EngineSize(
    val memoryTokens: Int = 400_000,
    val prefillTokensPerSecond: Int = 200_000,
    val decodeIntervalMilliseconds: Int = 20,
    val coldTokens: Int = 0,
    val coldStreams: Int = 2
) {
    val arguments: List<String>
        get() = listOf(
            "--memory-tokens=$memoryTokens",
            "--prefill-tokens-per-second=$prefillTokensPerSecond",
            "--decode-interval-ms=$decodeIntervalMilliseconds",
            "--cold-tokens=$coldTokens",
            "--cold-streams=$coldStreams",
            "--cache-blocks=0"
        )
}
