package org.gypsumroute.gateway.callers

/**
 * Limits the memory for one kind of what callers' requests hold to [capacityBytes]. An item larger
 * than [ordinaryBytes] may use the first half only, so that the other half stays free for the many
 * that are smaller. Used on the traffic event loop only.
 */
internal class RequestMemoryBudget(
    private val capacityBytes: Long,
    private val ordinaryBytes: Long = capacityBytes
) {
    private var usedBytes = 0L

    /** Whether [additionalBytes] more bytes of one item fit into the budget. */
    fun hasCapacity(additionalBytes: Long): Boolean {
        val available = if (additionalBytes > ordinaryBytes) capacityBytes / 2 else capacityBytes
        return usedBytes + additionalBytes <= available
    }

    fun add(additionalBytes: Int) {
        usedBytes += additionalBytes
    }

    fun remove(freedBytes: Int) {
        usedBytes -= freedBytes
    }
}
