package org.gypsumroute.process

/** The key that all processes of a fleet share. It must not appear in logs or errors. */
class SharedKey(val bytes: ByteArray) {
    override fun toString(): String = "shared key"

    companion object {
        /** Minimum length of a key. */
        const val MIN_BYTES = 16
    }
}
