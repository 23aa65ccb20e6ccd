package org.gypsumroute.runtime

/** How log lines are written. */
enum class LogFormat { JSON, TEXT }
