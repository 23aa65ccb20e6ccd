package org.gypsumroute.runtime

/** Format of log lines: JSON objects, or text of the form `name=value name=value`. */
enum class LogFormat { JSON, TEXT }
