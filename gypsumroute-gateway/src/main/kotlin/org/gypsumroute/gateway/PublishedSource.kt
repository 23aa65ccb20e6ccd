package org.gypsumroute.gateway

import org.gypsumroute.api.PublishedEffect

/**
 * Reads the records that endpoints and operators publish (routing table, endpoints, data centres).
 * An adapter implements it for its platform.
 */
interface PublishedSource : AutoCloseable {
    /**
     * Starts a read and returns immediately. The read emits exactly one event when it ends, and may
     * report its progress before that.
     */
    fun execute(effect: PublishedEffect)

    /** Returns the latest records, encoded for another gateway. */
    fun encodedRecords(): ByteArray
}

/** Path at which a gateway serves its records to other gateways. */
const val RECORDS_PATH = "/records"
