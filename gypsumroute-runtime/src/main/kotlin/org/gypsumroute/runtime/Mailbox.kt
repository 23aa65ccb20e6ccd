package org.gypsumroute.runtime

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Queue between many senders and the control thread. An element whose [offer] returned true is
 * taken before [take] reports the end; a queue of java.util.concurrent has no such close.
 */
internal class Mailbox<T : Any> {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val elements = ArrayDeque<T>()
    private var closed = false

    /** Elements that wait now. */
    val size: Int get() = lock.withLock { elements.size }

    /** Adds an element; false after [close]. */
    fun offer(element: T): Boolean = lock.withLock {
        if (!closed) {
            elements.addLast(element)
            changed.signal()
        }
        !closed
    }

    /** Waits for an element; null once the mailbox is closed and empty. */
    fun take(): T? = lock.withLock {
        while (elements.isEmpty() && !closed) changed.await()
        elements.removeFirstOrNull()
    }

    /** Returns an element or null without waiting. */
    fun poll(): T? = lock.withLock { elements.removeFirstOrNull() }

    /** Refuses further elements and lets waiting takers end. */
    fun close() = lock.withLock {
        closed = true
        changed.signalAll()
    }
}
