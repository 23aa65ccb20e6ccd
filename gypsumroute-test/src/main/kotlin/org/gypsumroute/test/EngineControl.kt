/*
 * Runs the simulated engine: one control thread owns its state, takes events and runs effects.
 * The threads of the HTTP server only post events and read the progress of streams.
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

/** Control thread of one engine stand-in. */
class EngineControl(settings: EngineSettings) : AutoCloseable {
    private val dispatcher = Executors.newSingleThreadExecutor { work ->
        Thread(work, "engine-control").apply { isDaemon = true }
    }.asCoroutineDispatcher()
    private val scope = CoroutineScope(dispatcher)
    private val mailbox = Channel<EngineSimulationEvent>(Channel.UNLIMITED)
    private val asks = AtomicLong()
    private val answers = ConcurrentHashMap<Long, CompletableDeferred<EngineAnswer>>()
    private val shown = ConcurrentHashMap<String, MutableStateFlow<StreamProgress>>()

    /** The newest state, for reports. */
    @Volatile
    var state: EngineSimulation =
        EngineSimulation(settings, startName = "start-${System.nanoTime().toString(RADIX)}")
        private set

    init {
        scope.launch { for (event in mailbox) apply(reduceEngine(state, event)) }
    }

    /** Posts the event that [event] makes of an ask's number and the time; waits for the answer. */
    suspend fun ask(event: (ask: Long, at: Long) -> EngineSimulationEvent): EngineAnswer {
        val ask = asks.incrementAndGet()
        val answer = CompletableDeferred<EngineAnswer>()
        answers[ask] = answer
        try {
            mailbox.send(event(ask, now()))
            return answer.await()
        } finally {
            answers.remove(ask)
        }
    }

    /** Progress of a stream, or null if the engine does not know it. */
    fun progress(id: String): StateFlow<StreamProgress>? = shown[id]

    /** Milliseconds of the monotonic clock. */
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
                val reader = effect.opened?.let { shown[it] }
                answers.remove(effect.ask)?.complete(EngineAnswer(effect, reader))
            }

            is EngineSimulationEffect.NoAnswer -> Unit

            is EngineSimulationEffect.Show -> {
                val reader = shown.getOrPut(effect.id) { MutableStateFlow(effect.progress) }
                reader.value = effect.progress
            }

            is EngineSimulationEffect.Forget -> shown.remove(effect.id)

            is EngineSimulationEffect.Schedule -> scope.launch {
                delay(effect.milliseconds)
                mailbox.send(EngineSimulationEvent.StepDue(now()))
            }
        }
    }

    private companion object {
        const val RADIX = 36
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000
    }
}

/**
 * Answer to a call and, if it opened a stream, the stream's progress. The engine may forget the
 * stream at once (collapse); whoever opened it can still read how it ended.
 */
class EngineAnswer(
    val effect: EngineSimulationEffect.Answer,
    val reader: StateFlow<StreamProgress>?
)
