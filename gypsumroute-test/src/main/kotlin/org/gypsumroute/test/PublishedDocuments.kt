package org.gypsumroute.test

import java.security.MessageDigest

/** How the configuration stand-in answers; [code] is its name in the test controls. */
enum class ServiceMode(val code: String) {
    UP("up"),
    UNAVAILABLE("unavailable"),
    HANG("hang")
}

/** One published state of a document; [version] counts its publications. */
internal class PublishedDocument(val name: String, val version: Long, val bytes: ByteArray) {
    val etag: String = MessageDigest.getInstance("SHA-256").digest(bytes)
        .joinToString("") { "%02x".format(it) }
}

/** Everything published so far. The last [KEPT_SNAPSHOTS] states can be served again. */
internal data class PublishedDocuments(
    val sequence: Long = 0,
    val snapshots: Map<Long, Map<String, PublishedDocument>> = mapOf(0L to emptyMap()),
    val snapshot: Long? = null,
    val mode: ServiceMode = ServiceMode.UP
) {
    /** The sequence that readers see now. */
    val visibleSequence: Long get() = snapshot?.takeIf { it in snapshots } ?: sequence

    /** The documents that readers see now. */
    val visible: Map<String, PublishedDocument> get() = snapshots.getValue(visibleSequence)

    fun with(name: String, bytes: ByteArray): PublishedDocuments {
        val current = snapshots.getValue(sequence)
        val document = PublishedDocument(name, (current[name]?.version ?: 0) + 1, bytes)
        val next = sequence + 1
        val oldest = next - KEPT_SNAPSHOTS
        return copy(
            sequence = next,
            snapshots = snapshots.filterKeys { it > oldest } +
                (next to current + (name to document))
        )
    }

    private companion object {
        const val KEPT_SNAPSHOTS = 64
    }
}
