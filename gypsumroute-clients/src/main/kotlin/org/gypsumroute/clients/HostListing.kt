package org.gypsumroute.clients

import org.gypsumroute.api.HostRecord

/** The host list at one [sequence] of its changes. */
data class HostListing(val sequence: Long, val hosts: List<HostRecord>)
