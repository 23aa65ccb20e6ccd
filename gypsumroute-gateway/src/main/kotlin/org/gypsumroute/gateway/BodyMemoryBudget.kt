package org.gypsumroute.gateway

/** Counts the bytes of callers' bodies in memory. Used on the traffic event loop only. */
internal class BodyMemoryBudget(private val capacityBytes: Long) {
    private var usedBytes = 0L

    /** Whether [additionalBytes] bytes still fit. */
    fun hasCapacity(additionalBytes: Long): Boolean = usedBytes + additionalBytes <= capacityBytes

    fun add(additionalBytes: Int) {
        usedBytes += additionalBytes
    }

    fun remove(freedBytes: Int) {
        usedBytes -= freedBytes
    }
}
