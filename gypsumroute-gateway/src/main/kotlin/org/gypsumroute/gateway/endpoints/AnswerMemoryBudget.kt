/*
 * Limits the memory for answers that are kept until they are complete. Each of them has a limit of
 * its own, but endpoints in trouble may send that much to very many requests at one time.
 */
package org.gypsumroute.gateway.endpoints

/**
 * Keeps the memory of all readers of responses below [capacityBytes]: if there is too little, the
 * reader that holds the most of it has to free it. Used on the traffic event loop only.
 */
internal class AnswerMemoryBudget(private val capacityBytes: Long) {
    private val heldBytes = HashMap<ResponseReader, Int>()
    private var usedBytes = 0L

    /** Notes that [reader] holds [bytes] now; it may have to free them at once. */
    fun update(reader: ResponseReader, bytes: Int) {
        usedBytes += bytes - (heldBytes.put(reader, bytes) ?: 0)
        while (usedBytes > capacityBytes) {
            val largest = heldBytes.maxByOrNull { it.value }?.key ?: return
            remove(largest)
            largest.freeMemory()
        }
    }

    fun remove(reader: ResponseReader) {
        usedBytes -= heldBytes.remove(reader) ?: 0
    }
}
