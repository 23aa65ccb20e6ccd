package org.gypsumroute.gateway

import org.gypsumroute.api.PublishedEffect

/** Reads published records; an adapter implements it for its platform. */
interface PublishedSource : AutoCloseable {
    /** Starts a read and returns at once; its outcome becomes one event. */
    fun execute(effect: PublishedEffect)

    /** The records read last, encoded for another gateway. */
    fun encodedRecords(): ByteArray
}

/** Path under which a gateway serves its records to others. */
const val RECORDS_PATH = "/records"
