package org.gypsumroute.core.actions

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Records that make the actions named by this agent's action keys run at most once.
 *
 * Keys carry the sequence numbers 1 to [lastIssued]. [records] holds claimed, running and finished
 * actions by sequence number, and [finishedCount] is the number of finished ones. An action below
 * [lowWaterMark] without a record may have run, with its record evicted since.
 */
data class ActionsState(
    val lastIssued: Long = 0,
    val lowWaterMark: Long = 1,
    val records: PersistentMap<Long, ActionRecord> = persistentMapOf(),
    val finishedCount: Int = 0
)
