package org.gypsumroute.clients

/**
 * A document as the configuration service lists it. [version] is counted by the service and is not
 * the version that the document itself contains.
 */
data class ListedDocument(val name: String, val version: Long, val etag: String)
