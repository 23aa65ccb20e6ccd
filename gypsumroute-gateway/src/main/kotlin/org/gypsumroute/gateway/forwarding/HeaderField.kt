package org.gypsumroute.gateway.forwarding

/** Name and value of an HTTP header. */
data class HeaderField(val name: String, val value: String)
