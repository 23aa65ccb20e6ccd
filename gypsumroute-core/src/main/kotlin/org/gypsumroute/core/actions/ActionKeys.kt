/*
 * Signs and verifies action keys. A key consists of host, incarnation, sequence number and
 * signature, joined by tildes. The signature is a truncated HMAC-SHA256 in hexadecimal over
 * incarnation, sequence number, service and organisation.
 */
package org.gypsumroute.core.actions

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.WorkOrder
import org.gypsumroute.core.AgentState

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

internal fun verifyActionKey(state: AgentState, order: WorkOrder): ActionKeyVerification {
    val parts = order.actionKey?.value.orEmpty().split(SEPARATOR)
    val sequence = parts.getOrNull(SEQUENCE_INDEX)?.toLongOrNull()
    if (parts.size != PART_COUNT || sequence == null) return ActionKeyVerification.Invalid
    val node = state.common.node
    if (parts[0] != node.host.value || parts[1] != node.incarnation.value) {
        return ActionKeyVerification.IssuedElsewhere
    }
    val expected = signature(state, sequence, order.service, order.organisation)
    val presented = parts[SIGNATURE_INDEX]
    return if (MessageDigest.isEqual(expected.toByteArray(), presented.toByteArray())) {
        ActionKeyVerification.IssuedHere(sequence)
    } else {
        ActionKeyVerification.Invalid
    }
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
        .take(SIGNATURE_HEX_DIGITS)
}

private const val ALGORITHM = "HmacSHA256"
private const val SEPARATOR = "~"
private const val SEQUENCE_INDEX = 2
private const val SIGNATURE_INDEX = 3
private const val PART_COUNT = 4
private const val SIGNATURE_HEX_DIGITS = 16
