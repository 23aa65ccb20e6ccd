package org.gypsumroute.core

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * At-most-once records of the actions that this agent's keys name.
 *
 * Keys carry the sequence numbers 1 to [lastIssued]. [records] holds claimed, running and finished
 * actions by sequence number; [finishedCount] counts the finished ones. An action below [lowWaterMark]
 * without a record may have run and been forgotten.
 */
data class ActionsState(
    val lastIssued: Long = 0,
    val lowWaterMark: Long = 1,
    val records: PersistentMap<Long, ActionRecord> = persistentMapOf(),
    val finishedCount: Int = 0
)
