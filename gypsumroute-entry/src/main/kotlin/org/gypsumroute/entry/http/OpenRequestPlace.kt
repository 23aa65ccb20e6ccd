package org.gypsumroute.entry.http

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** The place of one request among the [openRequests], from its creation until it is closed. */
internal class OpenRequestPlace(private val openRequests: AtomicInteger) : AutoCloseable {
    private val closed = AtomicBoolean()

    init {
        openRequests.incrementAndGet()
    }

    override fun close() {
        if (closed.compareAndSet(false, true)) openRequests.decrementAndGet()
    }
}
