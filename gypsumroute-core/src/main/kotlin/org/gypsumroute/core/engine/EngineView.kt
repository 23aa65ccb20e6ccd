package org.gypsumroute.core.engine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EngineState
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.Tokens

/**
 * The engine as its state reports show it.
 *
 * [readIssuedAt] is the time of the pending state read, or null; [lastReadIssuedAt] is the time at
 * which the latest answered read was sent. [failedReads] is the number of consecutive failed
 * reads. [unaccountedMemory] is memory in use, in tokens, that no reservation accounts for.
 * [orphanStreams] and [orphanHandles] are streams and cache handles without a reservation, with
 * the time of the first report that listed them. [endedStreams] are streams that have ended, with
 * the time of their end; reports that lag may still list them.
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
    /** Whether the engine answers; a single failed read may be a lost packet and is tolerated. */
    val reachable: Boolean get() = state != null && failedReads < FAILED_READS_UNTIL_UNREACHABLE

    private companion object {
        const val FAILED_READS_UNTIL_UNREACHABLE = 2
    }
}
