package org.gypsumroute.measure

/** What a fleet consists of. Each data centre has [agentsPerCentre] agents with engines. */
internal data class FleetPlan(
    val dataCentres: List<String> = listOf("thamel"),
    val agentsPerCentre: Int = 4,
    val entries: Int = 2,
    val engine: EngineSize = EngineSize(),
    val document: ServiceText = ServiceText(),
    val entryOptions: List<String> = emptyList(),
    val agentOptions: List<String> = emptyList()
)

/** Sizes of each engine stand-in. The prefix cache is off, so that each prompt is prefilled. */
internal data class EngineSize(
    val memoryTokens: Int = 400_000,
    val prefillPerSecond: Int = 200_000,
    val decodeMilliseconds: Int = 20,
    val coldTokens: Int = 0,
    val coldStreams: Int = 2
) {
    val arguments: List<String>
        get() = listOf(
            "--memory-tokens=$memoryTokens",
            "--prefill-tokens-per-second=$prefillPerSecond",
            "--decode-interval-ms=$decodeMilliseconds",
            "--cold-tokens=$coldTokens",
            "--cold-streams=$coldStreams",
            "--cache-blocks=0"
        )
}
