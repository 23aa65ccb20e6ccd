package org.gypsumroute.gateway

import org.gypsumroute.api.PublishedEffect

/** Reads published records; an adapter implements it for its platform. */
interface PublishedSource : AutoCloseable {
    /** Starts a read and returns at once; its outcome becomes one event. */
    fun execute(effect: PublishedEffect)
}
