package org.gypsumroute.clients

/** All documents of the configuration service as of change number [sequence]. */
data class ConfigurationListing(val sequence: Long, val documents: List<ListedDocument>)
