package org.gypsumroute.core.documents

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.DocumentStamp
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId

/**
 * The accepted service documents. [hash] is equal in two processes that accepted the same ones.
 * [watchOutstanding] is set while a watch of the configuration service is open, [firstReadEnded]
 * once a first read has ended, with or without success.
 */
data class DocumentsState(
    val accepted: PersistentMap<ServiceId, EncodedDocument> = persistentMapOf(),
    val hash: Long = 0,
    val watchOutstanding: Boolean = false,
    val firstReadEnded: Boolean = false
) {
    /** The document in force, or null if there is none or the service was withdrawn. */
    fun inForce(service: ServiceId): ServiceDocument? =
        accepted[service]?.document?.takeUnless { it.withdrawn }

    /** The stamps of all accepted documents. */
    fun stamps(): Map<ServiceId, DocumentStamp> = accepted.mapValues { it.value.stamp }
}
