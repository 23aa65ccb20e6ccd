package org.gypsumroute.core

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * At-most-once records of the actions that this agent's keys name.
 *
 * Keys carry the sequence numbers 1 to [issued]. [records] holds claimed, running and finished
 * actions by sequence number; [finished] counts the finished ones. An action below [lowWater]
 * without a record may have run and been forgotten.
 */
data class ActionsState(
    val issued: Long = 0,
    val lowWater: Long = 1,
    val records: PersistentMap<Long, ActionRecord> = persistentMapOf(),
    val finished: Int = 0
)
