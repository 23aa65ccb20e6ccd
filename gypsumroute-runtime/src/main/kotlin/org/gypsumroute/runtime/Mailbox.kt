package org.gypsumroute.runtime

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Unbounded queue from many senders to the control thread. Every element that [offer] accepted is
 * returned by [take] before [take] reports the end. The queues of java.util.concurrent have no such
 * close operation.
 */
internal class Mailbox<T : Any> {
    private val lock = ReentrantLock()
    private val stateChanged = lock.newCondition()
    private val elements = ArrayDeque<T>()
    private var closed = false

    /** Number of queued elements. */
    val size: Int get() = lock.withLock { elements.size }

    /** Adds an element. Returns false after [close]. */
    fun offer(element: T): Boolean = lock.withLock {
        if (!closed) {
            elements.addLast(element)
            stateChanged.signal()
        }
        !closed
    }

    /** Waits for an element. Returns null once the mailbox is closed and empty. */
    fun take(): T? = lock.withLock {
        while (elements.isEmpty() && !closed) stateChanged.await()
        elements.removeFirstOrNull()
    }

    /** Returns the next element, or null if the mailbox is empty. Never waits. */
    fun poll(): T? = lock.withLock { elements.removeFirstOrNull() }

    /** Rejects further elements and wakes threads that wait in [take]. */
    fun close() = lock.withLock {
        closed = true
        stateChanged.signalAll()
    }
}
