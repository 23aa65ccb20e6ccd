package org.gypsumroute.wire

import org.gypsumroute.api.Revision

/**
 * The published records by key, undecoded as the platform's store holds them, as of [revision]. A
 * gateway passes them to other gateways that cannot reach the platform.
 */
class PublishedItems(val revision: Revision, val items: Map<String, ByteArray>)
