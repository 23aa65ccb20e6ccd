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
 * A small engine that loses cancels and confirmations, lags in its reports, fails streams that it
 * still holds, restarts, and reports in any order.
 */
internal class FaultyEngine(private val random: Random, private val promptOf: (LeaseId) -> Long) {
    val streams = mutableMapOf(LeaseId("earlier-agent") to 20_000L)
    val handles = mutableMapOf(HandleId("earlier-handle") to 5_000L)
    val pending = mutableListOf<EngineEvent>()
    private val segments = mutableMapOf<LeaseId, HandleId>()
    private var incarnation = 1
    private var lagging: EngineState? = null

    val used: Long get() = streams.values.sum() + handles.values.sum()

    fun apply(effect: Effect) {
        when (effect) {
            is EngineEffect.OpenStream -> open(effect.lease, promptOf(effect.lease) + 500)

            is EngineEffect.PrefillSegment -> {
                segments[effect.lease] = HandleId("handle-${effect.lease}")
                open(effect.lease, promptOf(effect.lease))
            }

            is EngineEffect.CancelStream -> if (!chance(30)) cancel(effect.lease)

            is EngineEffect.ReleaseHandle -> if (!chance(30)) {
                handles.remove(effect.handle)
                if (!chance(20)) pending += EngineEvent.HandleReleased(effect.handle)
            }

            is EngineEffect.ReadState -> pending += if (chance(10)) {
                EngineEvent.Unreachable("lost")
            } else {
                EngineEvent.StateRead(report())
            }

            else -> Unit
        }
    }

    private fun open(lease: LeaseId, tokens: Long) {
        if (chance(5)) {
            pending += EngineEvent.StreamFailed(lease, reached = false, cause = "refused")
            return
        }
        streams[lease] = tokens
        if (chance(5)) pending += EngineEvent.StreamFailed(lease, reached = true, cause = "broke")
        if (lease !in segments) pending += EngineEvent.FirstToken(lease, elapsed())
    }

    /** Reports may be as old as the read before. */
    private fun report(): EngineState {
        val current = engineState(
            incarnation = "engine#$incarnation",
            streams = streams.mapKeys { it.key.value },
            handles = handles.mapKeys { it.key.value }
        )
        val answer = lagging?.takeIf { chance(30) && it.incarnation == current.incarnation }
        lagging = current
        return answer ?: current
    }

    private fun cancel(lease: LeaseId) {
        streams.remove(lease)
        segments[lease]?.let { handles.remove(it) }
        if (!chance(20)) pending += EngineEvent.CancelConfirmed(lease)
    }

    fun finishOne() {
        val lease = streams.keys.randomOrNull(random)?.takeIf { !it.value.startsWith("earlier") }
        val tokens = streams.remove(lease ?: return) ?: return
        val handle = segments[lease]
        if (handle == null) {
            pending += EngineEvent.StreamEnded(lease, Tokens(10))
        } else {
            handles[handle] = tokens
            val segment = SegmentHandle(handle, "127.0.0.1:1", Tokens(tokens))
            pending += EngineEvent.SegmentExported(lease, segment, elapsed())
        }
    }

    fun restart() {
        incarnation += 1
        pending += streams.keys.map { EngineEvent.StreamFailed(it, reached = true, cause = "died") }
        streams.clear()
        handles.clear()
    }

    /** Mostly fast, sometimes as slow as a cold engine. */
    private fun elapsed() = if (chance(3)) 60_000.milliseconds else 1.milliseconds

    private fun chance(percent: Int) = random.nextInt(100) < percent
}
