package org.gypsumroute.core

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.EngineState
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens

/**
 * A simulated engine that loses cancels and confirmations, sends outdated reports, fails streams
 * that it still holds, restarts, and delivers its events in any order.
 */
internal class FaultyEngine(private val random: Random, private val promptOf: (LeaseId) -> Long) {
    val streams = mutableMapOf(LeaseId("earlier-agent") to 20_000L)
    val handles = mutableMapOf(HandleId("earlier-handle") to 5_000L)
    val pendingEvents = mutableListOf<EngineEvent>()
    private val segments = mutableMapOf<LeaseId, HandleId>()
    private var incarnation = 1
    private var previousReport: EngineState? = null

    val usedMemory: Long get() = streams.values.sum() + handles.values.sum()

    fun apply(effect: Effect) {
        when (effect) {
            is EngineEffect.OpenStream -> open(effect.lease, promptOf(effect.lease) + 500)

            is EngineEffect.PrefillSegment -> {
                segments[effect.lease] = HandleId("handle-${effect.lease}")
                open(effect.lease, promptOf(effect.lease))
            }

            is EngineEffect.CancelStream -> if (!percentChance(30)) cancel(effect.lease)

            is EngineEffect.ReleaseHandle -> if (!percentChance(30)) {
                handles.remove(effect.handle)
                if (!percentChance(20)) pendingEvents += EngineEvent.HandleReleased(effect.handle)
            }

            is EngineEffect.ReadState -> pendingEvents += if (percentChance(10)) {
                EngineEvent.Unreachable("lost")
            } else {
                EngineEvent.StateRead(report())
            }

            else -> Unit
        }
    }

    private fun open(lease: LeaseId, tokens: Long) {
        if (percentChance(5)) {
            pendingEvents += EngineEvent.StreamFailed(lease, reached = false, cause = "refused")
            return
        }
        streams[lease] = tokens
        if (percentChance(5)) {
            pendingEvents += EngineEvent.StreamFailed(lease, reached = true, cause = "broke")
        }
        if (lease !in segments) pendingEvents += EngineEvent.FirstToken(lease, elapsed())
    }

    /** The current state, or in 30% of the reads the state at the read before. */
    private fun report(): EngineState {
        val current = engineState(
            incarnation = "engine#$incarnation",
            streams = streams.mapKeys { it.key.value },
            handles = handles.mapKeys { it.key.value }
        )
        val answer = previousReport?.takeIf {
            percentChance(30) && it.incarnation == current.incarnation
        }
        previousReport = current
        return answer ?: current
    }

    private fun cancel(lease: LeaseId) {
        streams.remove(lease)
        segments[lease]?.let { handles.remove(it) }
        if (!percentChance(20)) pendingEvents += EngineEvent.CancelConfirmed(lease)
    }

    fun finishRandomStream() {
        val lease = streams.keys.randomOrNull(random)?.takeIf { !it.value.startsWith("earlier") }
        val tokens = streams.remove(lease ?: return) ?: return
        val handle = segments[lease]
        if (handle == null) {
            pendingEvents += EngineEvent.StreamEnded(lease, Tokens(10))
        } else {
            handles[handle] = tokens
            val segment = SegmentHandle(handle, "127.0.0.1:1", Tokens(tokens))
            pendingEvents += EngineEvent.SegmentExported(lease, segment, elapsed())
        }
    }

    fun restart() {
        incarnation += 1
        pendingEvents += streams.keys.map {
            EngineEvent.StreamFailed(it, reached = true, cause = "died")
        }
        streams.clear()
        handles.clear()
    }

    /**
     * The duration of a prefill: in 3% of the cases as long as on a cold engine, otherwise short.
     */
    private fun elapsed() = if (percentChance(3)) 60_000.milliseconds else 1.milliseconds

    private fun percentChance(percent: Int) = random.nextInt(100) < percent
}
