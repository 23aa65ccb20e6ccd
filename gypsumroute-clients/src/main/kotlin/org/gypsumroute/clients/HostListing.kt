package org.gypsumroute.clients

import org.gypsumroute.api.HostRecord

/** The host list as of change number [sequence]. */
data class HostListing(val sequence: Long, val hosts: List<HostRecord>)
