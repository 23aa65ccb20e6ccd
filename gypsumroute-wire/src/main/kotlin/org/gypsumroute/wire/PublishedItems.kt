package org.gypsumroute.wire

import org.gypsumroute.api.StorePosition

/**
 * The published records by key, undecoded as the platform's store holds them, as of [position]. A
 * gateway passes them to other gateways that cannot reach the platform.
 */
class PublishedItems(val position: StorePosition, val items: Map<String, ByteArray>)
