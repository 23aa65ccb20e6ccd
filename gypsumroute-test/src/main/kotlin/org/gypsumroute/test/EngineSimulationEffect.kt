package org.gypsumroute.test

/** An effect of [reduceEngine], which [EngineControl] runs. */
sealed interface EngineSimulationEffect {
    /** Answers the call [callId]; [openedStream] is the id of the stream that it opened, if any. */
    data class Answer(
        val callId: Long,
        val status: Int,
        val detail: String,
        val openedStream: String? = null
    ) : EngineSimulationEffect

    /** Leaves the call [callId] unanswered, as if the answer were lost. */
    data class WithholdAnswer(val callId: Long) : EngineSimulationEffect

    /** Publishes the progress of a stream to its readers. */
    data class ShowProgress(val id: String, val progress: StreamProgress) : EngineSimulationEffect

    /** Drops the published progress of a stream; later readers do not find it. */
    data class DropProgress(val id: String) : EngineSimulationEffect

    /** Sends [EngineSimulationEvent.StepDue] after [milliseconds]. */
    data class ScheduleStep(val milliseconds: Long) : EngineSimulationEffect
}

/** State and effects after one event. */
data class EngineSimulationStep(
    val state: EngineSimulation,
    val effects: List<EngineSimulationEffect>
)
