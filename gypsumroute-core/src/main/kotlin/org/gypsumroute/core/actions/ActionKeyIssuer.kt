package org.gypsumroute.core.actions

import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId

/** The agent process that issued an action key: its host and its incarnation. */
internal data class ActionKeyIssuer(val host: HostId, val incarnation: IncarnationId)

/**
 * Reads the issuer from a key of the form `host~incarnation~sequence~signature`, or returns null
 * if the key has another form. Only the issuer can check the signature.
 */
internal fun actionKeyIssuer(key: ActionKey): ActionKeyIssuer? {
    val parts = key.value.split('~')
    val wellFormed = parts.size == PART_COUNT && parts.none { it.isEmpty() } &&
        parts[SEQUENCE_INDEX].toLongOrNull() != null
    return if (wellFormed) ActionKeyIssuer(HostId(parts[0]), IncarnationId(parts[1])) else null
}

private const val PART_COUNT = 4
private const val SEQUENCE_INDEX = 2
