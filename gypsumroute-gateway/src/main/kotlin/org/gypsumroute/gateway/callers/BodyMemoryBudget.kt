package org.gypsumroute.gateway.callers

/**
 * Limits the memory for bodies of callers' requests to [capacityBytes]. Used on the traffic event
 * loop only.
 */
internal class BodyMemoryBudget(private val capacityBytes: Long) {
    private var usedBytes = 0L

    /** Whether [additionalBytes] more bytes fit into the budget. */
    fun hasCapacity(additionalBytes: Long): Boolean = usedBytes + additionalBytes <= capacityBytes

    fun add(additionalBytes: Int) {
        usedBytes += additionalBytes
    }

    fun remove(freedBytes: Int) {
        usedBytes -= freedBytes
    }
}
