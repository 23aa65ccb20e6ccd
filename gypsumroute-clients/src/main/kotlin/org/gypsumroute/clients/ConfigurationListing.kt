package org.gypsumroute.clients

/** All documents of the configuration service at one [sequence] of its changes. */
data class ConfigurationListing(val sequence: Long, val documents: List<ListedDocument>)
