package org.gypsumroute.api

/** One named value of a log line. */
data class LogField(val name: String, val value: String)
