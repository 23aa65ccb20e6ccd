/*
 * Finds the organisations listed in service documents by the digest of the key that a caller sent.
 */
package org.gypsumroute.core.documents

import java.security.MessageDigest
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.core.CommonState

/** Finds the organisation of a key in the documents in force, whatever the service. */
internal fun findOrganisation(common: CommonState, keyDigest: String): OrganisationId? =
    documentsInForce(common).firstNotNullOfOrNull {
        findOrganisationRule(it, keyDigest)?.organisation
    }

/**
 * Finds the rule of the organisation to which a key belongs. Digests are compared in constant time,
 * so that response times reveal nothing about keys.
 */
internal fun findOrganisationRule(document: ServiceDocument, keyDigest: String): OrganisationRule? {
    val presented = keyDigest.toByteArray()
    return document.organisations.firstOrNull { rule ->
        rule.keyDigests.any { MessageDigest.isEqual(it.toByteArray(), presented) }
    }
}

/** The largest buffer budget, in bytes, that any service in force gives the organisation. */
internal fun bufferBudget(common: CommonState, organisation: OrganisationId): Bytes =
    documentsInForce(common)
        .filter { document -> document.organisations.any { it.organisation == organisation } }
        .maxOfOrNull { it.limits.answerBytesPerOrganisation } ?: Bytes.ZERO

private fun documentsInForce(common: CommonState): List<ServiceDocument> =
    common.documents.accepted.keys.mapNotNull { common.documents.inForce(it) }
