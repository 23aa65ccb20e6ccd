package org.gypsumroute.api

/** SHA-256 digest of a service document's bytes in lowercase hexadecimal. */
@JvmInline
value class DocumentDigest(val value: String) {
    override fun toString(): String = value
}
