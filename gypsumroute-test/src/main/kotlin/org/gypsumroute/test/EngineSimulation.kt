/*
 * State of the simulated engine. It is immutable; only `reduceEngine` creates a next state. Times
 * are milliseconds of the stand-in's monotonic clock.
 */
package org.gypsumroute.test

/**
 * Complete state of the simulated engine. It refuses new streams before [readyAt], and is cold
 * while [remainingColdTokens] tokens of prefill are left. [reports] holds the reports from the one
 * that readers see at present to the newest.
 */
data class EngineSimulation(
    val settings: EngineSettings,
    val processStartId: String = "start",
    val incarnation: Long = 1,
    val readyAt: Long = 0,
    val streams: Map<String, SimulatedStream> = emptyMap(),
    val endedStreams: Map<String, StreamProgress> = emptyMap(),
    val handles: Map<String, Long> = emptyMap(),
    val remainingColdTokens: Long = settings.coldTokens,
    val loaded: LoadedModel? = null,
    val role: String = "mixed",
    val highestFencing: Long = 0,
    val cache: Set<Long> = emptySet(),
    val cacheEvents: List<CacheEvent> = emptyList(),
    val cacheSequence: Long = 0,
    val faults: EngineFaults = EngineFaults(),
    val reports: List<EngineReport> = emptyList(),
    val lastStepAt: Long = 0,
    val stepPending: Boolean = false,
    val collapses: Int = 0,
    val handleCounter: Long = 0
) {
    /** Identifier that changes with each start of the process and with each collapse. */
    val startId: String get() = "$processStartId-$incarnation"

    /** Tokens held by streams and exported handles. Imported handles count on their own engine. */
    val usedTokens: Long
        get() = streams.values.sumOf { it.heldTokens } + handles.values.sum()
}

/**
 * One open stream. Streams of higher [priority] are prefilled first. A [silent] stream never
 * generates a token; an [export] stream ends after its prefill and leaves a handle.
 */
data class SimulatedStream(
    val id: String,
    val promptTokens: Long,
    val outputLimit: Int,
    val priority: Int,
    val export: Boolean,
    val silent: Boolean,
    val blockDigests: List<Long>,
    val openedAt: Long,
    val remainingPrefillTokens: Long,
    val progress: StreamProgress
) {
    /** Tokens of engine memory that the stream occupies. */
    val heldTokens: Long get() = promptTokens + progress.producedTokens
}

/**
 * Output of a stream as its readers see it: [producedTokens] chunks of one token each, numbered
 * in the text from [firstTokenNumber] on.
 */
data class StreamProgress(
    val firstTokenNumber: Long,
    val producedTokens: Int = 0,
    val outcome: StreamOutcome? = null
)

/** How a stream ended. */
sealed interface StreamOutcome {
    /** All tokens up to the output limit were generated. */
    data object Ended : StreamOutcome

    /** The prefill of [tokens] tokens was exported as [handle]. */
    data class Exported(val handle: String, val tokens: Long) : StreamOutcome

    /** The engine dropped the stream. */
    data class Failed(val cause: String) : StreamOutcome
}

/** The model that the engine has loaded. */
data class LoadedModel(val model: String, val adapter: String?, val version: String)

/** Blocks added to and removed from the prefix cache; readers see the event from [visibleAt] on. */
data class CacheEvent(
    val sequence: Long,
    val visibleAt: Long,
    val added: List<Long>,
    val removed: List<Long>
)

/**
 * Faults that a test injects: how many of the next cancellations get no effect and no answer, and
 * how many of the next streams never generate a token. -1 means all.
 */
data class EngineFaults(val lostCancels: Int = 0, val silentStreams: Int = 0)

/** What the engine reports about itself, as of [at]. */
data class EngineReport(
    val at: Long,
    val startId: String,
    val usedTokens: Long,
    val streams: Map<String, Long>,
    val handles: Map<String, Long>,
    val loaded: LoadedModel?,
    val role: String,
    val highestFencing: Long,
    val cold: Boolean,
    val collapses: Int
)
