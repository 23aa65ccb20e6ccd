package org.gypsumroute.core.fuzz

import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.EngineState
import org.gypsumroute.api.FencingNumber
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens

/**
 * An engine in the simulation. It collapses, that is restarts, when it holds more than its memory.
 */
internal class SimulatedEngine(val name: String, val memory: Long) {
    private var starts = 1
    val streams = mutableMapOf<LeaseId, Long>()
    val handles = mutableMapOf<HandleId, Long>()
    var collapses = 0
        private set
    var reachable = true
    var dropsCancels = false
    var warm = false
    var loaded: EngineModel? = null
    var highestFencing = 0L

    val incarnation: IncarnationId get() = IncarnationId("$name@$starts")

    val used: Long get() = streams.values.sum() + handles.values.sum()

    fun open(lease: LeaseId, tokens: Long) {
        streams[lease] = tokens
        if (used > memory) {
            collapses++
            restart()
        }
    }

    fun export(lease: LeaseId): HandleId {
        val handle = HandleId("kv-${lease.value}")
        handles[handle] = streams.remove(lease) ?: 0
        return handle
    }

    fun restart() {
        starts++
        streams.clear()
        handles.clear()
        warm = false
    }

    fun state() = EngineState(
        incarnation = incarnation,
        memory = Tokens(memory),
        usedMemory = Tokens(used),
        streams = streams.mapValues { Tokens(it.value) },
        handles = handles.mapValues { Tokens(it.value) },
        loaded = loaded,
        highestFencing = FencingNumber(highestFencing)
    )
}
