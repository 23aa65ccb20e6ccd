package org.gypsumroute.api

/** A named value of a log line. */
data class LogField(val name: String, val value: String)
