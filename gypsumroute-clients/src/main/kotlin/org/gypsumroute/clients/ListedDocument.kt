package org.gypsumroute.clients

/** A document as the configuration service lists it; [version] is the service's own count. */
data class ListedDocument(val name: String, val version: Long, val etag: String)
