package org.gypsumroute.api

/** Identifies a part of a prompt that several requests may share: a digest, never the text. */
@JvmInline
value class PromptPartId(val value: Long) {
    override fun toString(): String = java.lang.Long.toHexString(value)
}
