package org.gypsumroute.core

import java.security.MessageDigest
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.ServiceDocument

/** An organisation that some service knows, and the largest buffer budget any grants it. */
internal data class KnownUser(val organisation: OrganisationId, val buffered: Bytes)

/** Finds the organisation of a key in any service in force. */
internal fun knownUser(common: CommonState, keyDigest: String): KnownUser? {
    val documents = common.documents.accepted.keys.mapNotNull { common.documents.inForce(it) }
    val known = documents.mapNotNull { document ->
        organisationOf(document, keyDigest)?.let { document to it.organisation }
    }
    val organisation = known.firstOrNull()?.second ?: return null
    val budget = known.filter { it.second == organisation }
        .maxOf { it.first.limits.answerBytesPerOrganisation }
    return KnownUser(organisation, budget)
}

/** Compares in constant time, so that response times tell nothing about keys. */
internal fun organisationOf(document: ServiceDocument, keyDigest: String): OrganisationRule? {
    val wanted = keyDigest.toByteArray()
    return document.organisations.firstOrNull { rule ->
        rule.keyDigests.any { MessageDigest.isEqual(it.toByteArray(), wanted) }
    }
}
