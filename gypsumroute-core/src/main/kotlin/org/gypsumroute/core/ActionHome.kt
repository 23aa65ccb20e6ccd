package org.gypsumroute.core

import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId

/** The agent and its run that issued an action key. */
internal data class ActionHome(val host: HostId, val incarnation: IncarnationId)

/** Reads `host~incarnation~sequence~signature`; null if the key has another form. */
internal fun actionHome(key: ActionKey): ActionHome? {
    val parts = key.value.split('~')
    val formed = parts.size == KEY_PARTS && parts.none { it.isEmpty() } &&
        parts[SEQUENCE_PART].toLongOrNull() != null
    return if (formed) ActionHome(HostId(parts[0]), IncarnationId(parts[1])) else null
}

private const val KEY_PARTS = 4
private const val SEQUENCE_PART = 2
