package org.gypsumroute.test

/** What the shell around the simulated engine does. */
sealed interface EngineSimulationEffect {
    /** Answers the call [ask]; [opened] is the stream that it opened. */
    data class Answer(
        val ask: Long,
        val status: Int,
        val detail: String,
        val opened: String? = null
    ) : EngineSimulationEffect

    /** Leaves the call [ask] without an answer. */
    data class NoAnswer(val ask: Long) : EngineSimulationEffect

    /** Shows readers of a stream how far it is. */
    data class Show(val id: String, val progress: StreamProgress) : EngineSimulationEffect

    /** Drops what readers of a stream could still read. */
    data class Forget(val id: String) : EngineSimulationEffect

    /** Delivers `StepDue` after [milliseconds]. */
    data class Schedule(val milliseconds: Long) : EngineSimulationEffect
}

/** Result of one event. */
data class EngineSimulationStep(
    val state: EngineSimulation,
    val effects: List<EngineSimulationEffect>
)
