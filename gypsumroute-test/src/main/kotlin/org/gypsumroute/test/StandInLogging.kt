/*
 * Logging of stand-in processes. It is configured in code, because a configuration file in this
 * module would conflict with those of the modules whose tests use the stand-ins.
 */
package org.gypsumroute.test

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.slf4j.LoggerFactory

/** Writes warnings and errors to standard error and drops all other log events. */
internal fun logWarningsToStandardError() {
    val loggerContext = LoggerFactory.getILoggerFactory() as LoggerContext
    loggerContext.reset()
    val lineEncoder = PatternLayoutEncoder().apply {
        context = loggerContext
        pattern = "%d %level %logger{0} %msg%n"
        start()
    }
    val standardError = ConsoleAppender<ILoggingEvent>().apply {
        context = loggerContext
        target = "System.err"
        encoder = lineEncoder
        start()
    }
    loggerContext.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        level = Level.WARN
        addAppender(standardError)
    }
}
