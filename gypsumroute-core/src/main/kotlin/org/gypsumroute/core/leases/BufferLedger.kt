package org.gypsumroute.core.leases

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.RequestId

/**
 * Bytes buffered for one request. [stalledSince] is when the buffered answer last shrank or, if it
 * has not shrunk since, when it began to fill; it is null if no part of the answer is buffered.
 */
data class HeldBytes(
    val organisation: OrganisationId,
    val body: Bytes,
    val answer: Bytes = Bytes.ZERO,
    val stalledSince: Moment? = null
) {
    val sum: Bytes get() = body + answer
}

/** Bytes of request bodies and answers buffered by this entry, by request and organisation. */
data class BufferLedger(
    val held: PersistentMap<RequestId, HeldBytes> = persistentMapOf(),
    val byOrganisation: PersistentMap<OrganisationId, Bytes> = persistentMapOf(),
    val total: Bytes = Bytes.ZERO
) {
    fun heldBy(organisation: OrganisationId): Bytes = byOrganisation[organisation] ?: Bytes.ZERO

    fun put(request: RequestId, bytes: HeldBytes): BufferLedger {
        val before = remove(request)
        val sum = before.heldBy(bytes.organisation) + bytes.sum
        return BufferLedger(
            before.held.put(request, bytes),
            before.byOrganisation.put(bytes.organisation, sum),
            before.total + bytes.sum
        )
    }

    fun remove(request: RequestId): BufferLedger {
        val bytes = held[request] ?: return this
        val left = heldBy(bytes.organisation) - bytes.sum
        val sums = if (left == Bytes.ZERO) {
            byOrganisation.remove(bytes.organisation)
        } else {
            byOrganisation.put(bytes.organisation, left)
        }
        return BufferLedger(held.remove(request), sums, total - bytes.sum)
    }

    /**
     * Updates the buffered [answer] bytes of a request. A smaller count than before shows that the
     * caller is reading.
     */
    fun withAnswer(request: RequestId, answer: Bytes, now: Moment): BufferLedger {
        val before = held[request] ?: return this
        val stalledSince = when {
            answer == Bytes.ZERO -> null
            answer < before.answer -> now
            else -> before.stalledSince ?: now
        }
        return put(request, before.copy(answer = answer, stalledSince = stalledSince))
    }
}
