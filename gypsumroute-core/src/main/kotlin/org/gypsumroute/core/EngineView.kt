package org.gypsumroute.core

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EngineState
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.Tokens

/**
 * What the agent knows from the engine's own reports.
 *
 * [readIssuedAt] is the time of the read whose answer is awaited, [lastReadIssuedAt] that of the
 * latest answered one. [unaccountedMemory] is the memory in use that no reservation accounts for.
 * [orphanStreams] and [orphanHandles] are those without a lease, with the time they were first
 * seen. [endedStreams] lists streams that the engine ended, which lagging reports may still show.
 */
data class EngineView(
    val state: EngineState? = null,
    val readIssuedAt: Moment? = null,
    val lastReadIssuedAt: Moment = Moment.START,
    val failedReads: Int = 0,
    val unaccountedMemory: Tokens = Tokens.ZERO,
    val orphanStreams: PersistentMap<LeaseId, Moment> = persistentMapOf(),
    val orphanHandles: PersistentMap<HandleId, Moment> = persistentMapOf(),
    val endedStreams: PersistentMap<LeaseId, Moment> = persistentMapOf()
) {
    /** Whether the engine answers; one failed read may be a lost packet. */
    val reachable: Boolean get() = state != null && failedReads < FAILED_READS_UNTIL_UNREACHABLE

    private companion object {
        const val FAILED_READS_UNTIL_UNREACHABLE = 2
    }
}
