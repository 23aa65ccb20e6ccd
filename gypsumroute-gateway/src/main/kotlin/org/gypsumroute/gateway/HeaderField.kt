package org.gypsumroute.gateway

/** One HTTP header. */
data class HeaderField(val name: String, val value: String)
