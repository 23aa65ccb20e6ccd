package org.gypsumroute.test

import java.security.MessageDigest

/** How the configuration stand-in answers; [code] is the mode's name in the test controls. */
enum class ServiceMode(val code: String) {
    UP("up"),
    UNAVAILABLE("unavailable"),
    HANG("hang")
}

/** One publication of a document; [version] counts the publications of this document. */
internal class PublishedDocument(val name: String, val version: Long, val bytes: ByteArray) {
    val etag: String = MessageDigest.getInstance("SHA-256").digest(bytes)
        .joinToString("") { "%02x".format(it) }
}

/**
 * The published documents by sequence number of the publication. The last [MAX_SNAPSHOTS]
 * snapshots are kept; [pinnedSequence] selects one that is served in place of the newest.
 */
internal data class PublishedDocuments(
    val sequence: Long = 0,
    val snapshots: Map<Long, Map<String, PublishedDocument>> = mapOf(0L to emptyMap()),
    val pinnedSequence: Long? = null,
    val mode: ServiceMode = ServiceMode.UP
) {
    /** The sequence number that readers see now. */
    val visibleSequence: Long get() = pinnedSequence?.takeIf { it in snapshots } ?: sequence

    /** The documents that readers see now. */
    val visible: Map<String, PublishedDocument> get() = snapshots.getValue(visibleSequence)

    fun withDocument(name: String, bytes: ByteArray): PublishedDocuments {
        val current = snapshots.getValue(sequence)
        val document = PublishedDocument(name, (current[name]?.version ?: 0) + 1, bytes)
        val next = sequence + 1
        val oldest = next - MAX_SNAPSHOTS
        return copy(
            sequence = next,
            snapshots = snapshots.filterKeys { it > oldest } +
                (next to current + (name to document))
        )
    }

    private companion object {
        const val MAX_SNAPSHOTS = 64
    }
}
