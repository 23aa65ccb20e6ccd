package org.gypsumroute.api

/** Digest of a prompt's leading bytes; equal digests suggest a shared cached prefix. */
@JvmInline
value class PrefixDigest(val value: Long) {
    override fun toString(): String = value.toString()
}
