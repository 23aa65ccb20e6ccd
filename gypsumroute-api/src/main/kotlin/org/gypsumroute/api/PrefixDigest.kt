package org.gypsumroute.api

/**
 * Digest of the first bytes of a prompt. An engine that served a prompt with an equal digest
 * probably holds the shared prefix in its cache.
 */
@JvmInline
value class PrefixDigest(val value: Long) {
    override fun toString(): String = value.toString()
}
