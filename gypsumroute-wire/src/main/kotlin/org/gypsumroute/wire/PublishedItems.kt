package org.gypsumroute.wire

import org.gypsumroute.api.Revision

/**
 * Published records in the form in which the platform holds them, by key, as of [revision]. A
 * gateway hands them on to others that cannot reach the platform.
 */
class PublishedItems(val revision: Revision, val items: Map<String, ByteArray>)
