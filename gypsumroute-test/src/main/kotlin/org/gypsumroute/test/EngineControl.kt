/*
 * Runs the simulated engine: one control thread owns the state, applies events and runs effects.
 * The HTTP server's threads only send events and read the published state and progress.
 */
package org.gypsumroute.test

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch

/** The control thread of one engine stand-in and its event channel. */
class EngineControl(settings: EngineSettings) : AutoCloseable {
    private val dispatcher = Executors.newSingleThreadExecutor { work ->
        Thread(work, "engine-control").apply { isDaemon = true }
    }.asCoroutineDispatcher()
    private val scope = CoroutineScope(dispatcher)
    private val mailbox = Channel<EngineSimulationEvent>(Channel.UNLIMITED)
    private val lastCallId = AtomicLong()
    private val pendingAnswers = ConcurrentHashMap<Long, CompletableDeferred<EngineAnswer>>()
    private val progressById = ConcurrentHashMap<String, MutableStateFlow<StreamProgress>>()

    /** The current state, which reports are made from. */
    @Volatile
    var state: EngineSimulation =
        EngineSimulation(
            settings,
            processStartId = "start-${System.nanoTime().toString(START_ID_RADIX)}"
        )
        private set

    init {
        scope.launch { for (event in mailbox) apply(reduceEngine(state, event)) }
    }

    /** Sends the event that [event] builds from a new call id and the time; returns its answer. */
    suspend fun submit(event: (callId: Long, at: Long) -> EngineSimulationEvent): EngineAnswer {
        val callId = lastCallId.incrementAndGet()
        val answer = CompletableDeferred<EngineAnswer>()
        pendingAnswers[callId] = answer
        try {
            mailbox.send(event(callId, now()))
            return answer.await()
        } finally {
            pendingAnswers.remove(callId)
        }
    }

    /** Published progress of a stream, or null if the engine does not know the stream. */
    fun progress(id: String): StateFlow<StreamProgress>? = progressById[id]

    /** The monotonic clock in milliseconds. */
    fun now(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND

    override fun close() {
        scope.cancel()
        dispatcher.close()
    }

    private fun apply(step: EngineSimulationStep) {
        state = step.state
        step.effects.forEach { run(it) }
    }

    private fun run(effect: EngineSimulationEffect) {
        when (effect) {
            is EngineSimulationEffect.Answer -> {
                val progressFlow = effect.openedStream?.let { progressById[it] }
                pendingAnswers.remove(effect.callId)?.complete(EngineAnswer(effect, progressFlow))
            }

            is EngineSimulationEffect.WithholdAnswer -> Unit

            is EngineSimulationEffect.ShowProgress -> {
                val progressFlow = progressById.getOrPut(effect.id) {
                    MutableStateFlow(effect.progress)
                }
                progressFlow.value = effect.progress
            }

            is EngineSimulationEffect.DropProgress -> progressById.remove(effect.id)

            is EngineSimulationEffect.ScheduleStep -> scope.launch {
                delay(effect.milliseconds)
                mailbox.send(EngineSimulationEvent.StepDue(now()))
            }
        }
    }

    private companion object {
        const val START_ID_RADIX = 36
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000
    }
}

/**
 * Answer to a call and, if the call opened a stream, the flow of the stream's progress. The engine
 * can drop the stream in the same step (a collapse); the flow still tells the caller how it ended.
 */
class EngineAnswer(
    val effect: EngineSimulationEffect.Answer,
    val progressFlow: StateFlow<StreamProgress>?
)
