package org.gypsumroute.test

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against an engine stand-in that tolerates more or less load than a real engine, which
 * would hide faults of the router or report false ones.
 */
class EngineSimulationTest {
    private val settings = EngineSettings(
        memoryTokens = 1000,
        prefillTokensPerSecond = 1000,
        decodeInterval = 10.milliseconds,
        restartTime = 1.seconds
    )

    @Test
    fun `engine collapses when its streams exceed its memory and restarts empty`() {
        val engine = SimulationRun(settings)
        engine.open("a", tokens = 600)
        engine.open("b", tokens = 500)
        assertEquals(1, engine.state.collapses)
        assertEquals(emptyMap(), engine.state.streams)
        assertEquals("start-2", engine.state.startId)
        assertTrue(engine.progressById.values.all { it.outcome is StreamOutcome.Failed })
        assertEquals(503, engine.open("c", tokens = 1).status)
        engine.at += 1000
        assertEquals(200, engine.open("d", tokens = 1).status)
    }

    @Test
    fun `generated tokens count against the memory`() {
        val engine = SimulationRun(settings)
        engine.open("a", tokens = 1, outputLimit = 2000)
        engine.steps(998)
        assertEquals(0, engine.state.collapses)
        engine.steps(10)
        assertEquals(1, engine.state.collapses)
    }

    @Test
    fun `cold engine collapses above its stream limit and a warm one does not`() {
        val cold = SimulationRun(settings.copy(coldTokens = 100, coldStreams = 2))
        listOf("a", "b").forEach { cold.open(it, tokens = 50, outputLimit = 100) }
        assertEquals(0, cold.state.collapses)
        cold.open("c", tokens = 50)
        assertEquals(1, cold.state.collapses)
        val warmed = SimulationRun(settings.copy(coldTokens = 100, coldStreams = 2))
        listOf("a", "b").forEach { warmed.open(it, tokens = 50, outputLimit = 100) }
        warmed.steps(60)
        warmed.open("c", tokens = 50)
        assertEquals(0, warmed.state.collapses)
    }

    @Test
    fun `cold prefill is slower by the configured factor`() {
        val warm = SimulationRun(settings).apply { open("a", tokens = 100) }.stepsToFirstToken("a")
        val cold = SimulationRun(settings.copy(coldTokens = 100, coldSlowdown = 5.0))
            .apply { open("a", tokens = 100) }.stepsToFirstToken("a")
        assertEquals(10, warm)
        assertEquals(50, cold)
    }

    @Test
    fun `stream of higher priority is prefilled first`() {
        val engine = SimulationRun(settings)
        engine.open("long", tokens = 500, priority = 1)
        engine.steps(1)
        engine.open("short", tokens = 10, priority = 5)
        engine.steps(1)
        assertEquals(1, engine.progressById.getValue("short").producedTokens)
        assertEquals(0, engine.progressById.getValue("long").producedTokens)
    }

    @Test
    fun `order below the highest fencing number is refused only if fencing is enforced`() {
        for ((fencing, expected) in listOf(true to 409, false to 200)) {
            val engine = SimulationRun(settings.copy(enforceFencing = fencing))
            assertEquals(200, engine.order(5).status)
            assertEquals(expected, engine.order(4).status)
        }
    }

    @Test
    fun `report lags by the configured duration`() {
        val engine = SimulationRun(settings.copy(reportLag = 500.milliseconds))
        engine.open("old", tokens = 10)
        engine.at += 600
        engine.open("new", tokens = 10)
        assertEquals(setOf("old"), engine.state.visibleReport(engine.at).streams.keys)
    }

    @Test
    fun `a stream opened right after the last one was cancelled does not schedule a second step`() {
        val engine = SimulationRun(settings)
        engine.open("a", tokens = 10, outputLimit = 100)
        engine.cancel("a")
        engine.open("b", tokens = 10, outputLimit = 100)
        assertEquals(1, engine.pendingSteps)
    }

    private class SimulationRun(settings: EngineSettings) {
        var state = EngineSimulation(settings)
        var at = 0L
        var pendingSteps = 0
        val progressById = mutableMapOf<String, StreamProgress>()
        private val answers = mutableListOf<EngineSimulationEffect.Answer>()

        fun open(id: String, tokens: Long, outputLimit: Int = 10, priority: Int = 0) = submit(
            EngineSimulationEvent.Open(
                at = at,
                callId = 0,
                id = id,
                prompt = PromptDigest(tokens, 0, emptyList()),
                outputLimit = outputLimit,
                priority = priority,
                export = false
            )
        )

        fun cancel(id: String) = submit(EngineSimulationEvent.Cancel(at, 0, id))

        fun order(fencing: Long) =
            submit(EngineSimulationEvent.Order(at, 0, fencing, LoadedModel("m", null, "1"), null))

        fun steps(count: Int) = repeat(count) {
            at += 10
            pendingSteps--
            apply(EngineSimulationEvent.StepDue(at))
        }

        fun stepsToFirstToken(id: String): Int = (1..1000).first {
            steps(1)
            progressById.getValue(id).producedTokens > 0
        }

        private fun submit(event: EngineSimulationEvent): EngineSimulationEffect.Answer {
            apply(event)
            return answers.last()
        }

        private fun apply(event: EngineSimulationEvent) {
            val step = reduceEngine(state, event)
            state = step.state
            step.effects.forEach {
                when (it) {
                    is EngineSimulationEffect.Answer -> answers += it
                    is EngineSimulationEffect.ShowProgress -> progressById[it.id] = it.progress
                    is EngineSimulationEffect.ScheduleStep -> pendingSteps++
                    else -> Unit
                }
            }
        }
    }
}
