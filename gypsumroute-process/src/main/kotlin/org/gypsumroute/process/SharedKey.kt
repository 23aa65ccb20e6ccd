package org.gypsumroute.process

/** The key that all processes of a fleet share; never shown in logs or errors. */
class SharedKey(val bytes: ByteArray) {
    override fun toString(): String = "shared key"

    companion object {
        /** Shortest key that is accepted, in bytes. */
        const val MIN_BYTES = 16
    }
}
