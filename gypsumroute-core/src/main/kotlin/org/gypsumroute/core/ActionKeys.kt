/*
 * The text of action keys: host, incarnation, sequence number and signature, joined by a tilde.
 */
package org.gypsumroute.core

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.WorkOrder

internal fun signActionKey(
    state: AgentState,
    sequence: Long,
    service: ServiceId,
    organisation: OrganisationId
): ActionKey {
    val node = state.common.node
    val signature = signature(state, sequence, service, organisation)
    val parts = listOf(node.host.value, node.incarnation.value, "$sequence", signature)
    return ActionKey(parts.joinToString(SEPARATOR))
}

internal fun readActionKey(state: AgentState, order: WorkOrder): ActionKeyReading {
    val parts = order.actionKey?.value.orEmpty().split(SEPARATOR)
    val sequence = parts.getOrNull(SEQUENCE)?.toLongOrNull()
    if (parts.size != PARTS || sequence == null) return ActionKeyReading.Invalid
    val node = state.common.node
    if (parts[0] != node.host.value || parts[1] != node.incarnation.value) {
        return ActionKeyReading.Foreign
    }
    val expected = signature(state, sequence, order.service, order.organisation)
    val genuine = MessageDigest.isEqual(expected.toByteArray(), parts[SIGNATURE].toByteArray())
    return if (genuine) ActionKeyReading.Own(sequence) else ActionKeyReading.Invalid
}

private fun signature(
    state: AgentState,
    sequence: Long,
    service: ServiceId,
    organisation: OrganisationId
): String {
    val mac = Mac.getInstance(ALGORITHM)
    mac.init(SecretKeySpec(state.actionSecret.value.toByteArray(), ALGORITHM))
    val text = listOf(state.common.node.incarnation, sequence, service, organisation)
    return mac.doFinal(text.joinToString("\n").toByteArray())
        .joinToString("") { "%02x".format(it) }
        .take(SIGNATURE_LENGTH)
}

private const val ALGORITHM = "HmacSHA256"
private const val SEPARATOR = "~"
private const val SEQUENCE = 2
private const val SIGNATURE = 3
private const val PARTS = 4
private const val SIGNATURE_LENGTH = 16
