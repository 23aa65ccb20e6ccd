/*
 * Organisations as the service documents list them, found by the key that a caller presents.
 */
package org.gypsumroute.core

import java.security.MessageDigest
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.ServiceDocument

/** Finds the organisation of a key in any service in force. */
internal fun findOrganisation(common: CommonState, keyDigest: String): OrganisationId? =
    documentsInForce(common).firstNotNullOfOrNull { findOrganisationRule(it, keyDigest)?.organisation }

/** Compares in constant time, so that response times tell nothing about keys. */
internal fun findOrganisationRule(document: ServiceDocument, keyDigest: String): OrganisationRule? {
    val presented = keyDigest.toByteArray()
    return document.organisations.firstOrNull { rule ->
        rule.keyDigests.any { MessageDigest.isEqual(it.toByteArray(), presented) }
    }
}

/** The largest buffer budget that any service grants the organisation. */
internal fun bufferBudget(common: CommonState, organisation: OrganisationId): Bytes =
    documentsInForce(common)
        .filter { document -> document.organisations.any { it.organisation == organisation } }
        .maxOfOrNull { it.limits.answerBytesPerOrganisation } ?: Bytes.ZERO

private fun documentsInForce(common: CommonState): List<ServiceDocument> =
    common.documents.accepted.keys.mapNotNull { common.documents.inForce(it) }
