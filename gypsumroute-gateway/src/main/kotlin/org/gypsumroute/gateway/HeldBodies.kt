package org.gypsumroute.gateway

/** Counts the bytes of callers' bodies in memory. Used on the traffic event loop only. */
internal class HeldBodies(private val most: Long) {
    private var bytes = 0L

    /** Whether [more] bytes still fit. */
    fun hasRoom(more: Long): Boolean = bytes + more <= most

    fun add(more: Int) {
        bytes += more
    }

    fun remove(fewer: Int) {
        bytes -= fewer
    }
}
