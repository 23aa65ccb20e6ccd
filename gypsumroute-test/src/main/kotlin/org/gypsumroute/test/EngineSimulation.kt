/*
 * State of the simulated engine. It is immutable; `reduceEngine` is the only function that
 * advances it. Times are milliseconds of the stand-in's monotonic clock.
 */
package org.gypsumroute.test

/** Everything the engine stand-in knows. */
data class EngineSimulation(
    val settings: EngineSettings,
    val startName: String = "start",
    val incarnation: Long = 1,
    val upAt: Long = 0,
    val streams: Map<String, SimulatedStream> = emptyMap(),
    val ended: Map<String, StreamProgress> = emptyMap(),
    val handles: Map<String, Long> = emptyMap(),
    val coldRemaining: Long = settings.coldTokens,
    val loaded: LoadedModel? = null,
    val role: String = "mixed",
    val highestFencing: Long = 0,
    val cache: Set<Long> = emptySet(),
    val cacheEvents: List<CacheEvent> = emptyList(),
    val cacheSequence: Long = 0,
    val faults: EngineFaults = EngineFaults(),
    val reports: List<EngineReport> = emptyList(),
    val lastStep: Long = 0,
    val stepPending: Boolean = false,
    val collapses: Int = 0,
    val handleCounter: Long = 0
) {
    /** Start identifier: differs after each start of the process and after each collapse. */
    val start: String get() = "$startName-$incarnation"

    /** Tokens held by streams and exported handles. Imported handles stay on their engine. */
    val usedTokens: Long
        get() = streams.values.sumOf { it.heldTokens } + handles.values.sum()
}

/** One stream that the engine works on. Higher [priority] is prefilled first. */
data class SimulatedStream(
    val id: String,
    val promptTokens: Long,
    val outputLimit: Int,
    val priority: Int,
    val export: Boolean,
    val silent: Boolean,
    val blocks: List<Long>,
    val order: Long,
    val prefillLeft: Long,
    val progress: StreamProgress
) {
    /** Tokens of engine memory that the stream occupies. */
    val heldTokens: Long get() = promptTokens + progress.produced
}

/** What a reader of a stream sees: [produced] chunks, the first of them token [firstToken]. */
data class StreamProgress(
    val firstToken: Long,
    val produced: Int = 0,
    val outcome: StreamOutcome? = null
)

/** How a stream ended. */
sealed interface StreamOutcome {
    /** All chunks were generated. */
    data object Ended : StreamOutcome

    /** The prefill was exported as [handle]. */
    data class Exported(val handle: String, val tokens: Long) : StreamOutcome

    /** The engine dropped the stream. */
    data class Failed(val cause: String) : StreamOutcome
}

/** The model that the engine holds. */
data class LoadedModel(val model: String, val adapter: String?, val version: String)

/** A change of the prefix cache; readers see it from [visibleAt] on. */
data class CacheEvent(
    val sequence: Long,
    val visibleAt: Long,
    val added: List<Long>,
    val removed: List<Long>
)

/** Test switches. A count of -1 means always. */
data class EngineFaults(val lostCancels: Int = 0, val silentStreams: Int = 0)

/** The engine's own account of itself [at] some time. */
data class EngineReport(
    val at: Long,
    val start: String,
    val usedTokens: Long,
    val streams: Map<String, Long>,
    val handles: Map<String, Long>,
    val loaded: LoadedModel?,
    val role: String,
    val highestFencing: Long,
    val cold: Boolean,
    val collapses: Int
)
