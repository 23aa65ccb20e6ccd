/*
 * An engine that works in passes, as the platform's pages describe it.
 */
package org.gypsumroute.core.gateway.simulation

import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.gypsumroute.api.EngineProfile

/** A prompt to read and an answer to write. */
internal class EngineTask(
    val name: String,
    val prompt: Long,
    val output: Long,
    val begun: () -> Unit,
    val event: () -> Unit,
    val ended: () -> Unit
) {
    var unread = 0
    var written = 0L
    var gone = false
}

/** One part of a prompt at one engine. */
private class Part(val task: EngineTask, var tokens: Double, val costPerToken: Double)

/** Runs passes on [clock] while there is work. Times are in milliseconds. */
internal class SimulatedEngine(private val figures: EngineProfile, private val clock: Clock) {
    private val waiting = ArrayDeque<EngineTask>()
    private val running = ArrayList<EngineTask>()
    private val helped = ArrayDeque<Part>()
    private val own = ArrayDeque<Part>()
    private var busy = false

    /** Takes a request; [readers] read its prompt in even parts, this engine first. */
    fun add(task: EngineTask, readers: List<SimulatedEngine>) {
        val cost = readCost(task.prompt) / task.prompt.coerceAtLeast(1)
        val tokens = task.prompt.toDouble() / readers.size
        task.unread = readers.size
        for (reader in readers) {
            val part = Part(task, tokens, cost)
            if (reader === this) own.addLast(part) else reader.help(part)
        }
        waiting.addLast(task)
        wake()
    }

    /** Drops a request whose caller left. */
    fun cancel(task: EngineTask) {
        task.gone = true
    }

    private fun help(part: Part) {
        helped.addLast(part)
        wake()
    }

    private fun wake() {
        if (busy) return
        busy = true
        clock.after(0.0) { pass() }
    }

    private fun pass() {
        dropGone()
        while (running.size < figures.slots &&
            waiting.isNotEmpty()
        ) {
            running += waiting.removeFirst()
        }
        if (running.isEmpty() && helped.isEmpty()) {
            busy = false
            return
        }
        val writers = running.filter { it.unread == 0 }
        val steps = if (writers.isEmpty()) 1 else figures.stepsPerPass
        val context = writers.sumOf { it.prompt + it.written } / THOUSAND
        val step = figures.stepTime.ms() + figures.stepTimePerSequence.ms() * writers.size +
            figures.stepTimePerThousandContextTokens.ms() * context
        val finished = ArrayList<EngineTask>()
        val read = read(steps, finished)
        clock.after(step * steps + read) {
            finished.forEach { it.unread-- }
            write(writers, steps)
            pass()
        }
    }

    /** Reads for at most [steps] chunks and returns the time that it takes. */
    private fun read(steps: Int, finished: MutableList<EngineTask>): Double {
        var budget = figures.prefillChunkTokens.toDouble() * steps
        var time = 0.0
        var next = nextPart()
        while (budget > 0 && next != null) {
            val tokens = minOf(budget, next.tokens)
            next.tokens -= tokens
            budget -= tokens
            if (!next.task.gone) time += tokens * next.costPerToken
            if (next.tokens <= 0) {
                if (!helped.remove(next)) own.remove(next)
                finished += next.task
            }
            next = nextPart()
        }
        return time
    }

    /** Parts for other engines come first; own prompts are read once they have a slot. */
    private fun nextPart(): Part? =
        helped.firstOrNull() ?: own.firstOrNull { it.task in running || it.task.gone }

    private fun write(writers: List<EngineTask>, steps: Int) {
        for (task in running.toList()) {
            if (task.gone || task.unread > 0) continue
            if (task !in writers) {
                task.written = 1
                task.begun()
            } else {
                task.written += steps
                task.event()
            }
            if (task.written >= task.output) {
                running -= task
                task.ended()
            }
        }
    }

    private fun dropGone() {
        running.removeAll { it.gone }
        waiting.removeAll { it.gone }
        own.removeAll { it.task.gone }
        helped.removeAll { it.task.gone }
    }

    private fun readCost(prompt: Long): Double = figures.prefillTimePerToken.ms() * prompt +
        figures.prefillTimePerMillionPairs.ms() * (prompt.toDouble() * prompt / 2 / MILLION)

    private companion object {
        const val THOUSAND = 1000.0
        const val MILLION = 1e6
    }
}

internal fun Duration.ms(): Double = toDouble(DurationUnit.MILLISECONDS)
