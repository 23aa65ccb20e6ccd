/*
 * Logging of stand-in processes. It is set up in code: a configuration file in this module would
 * clash with that of other modules whose tests use the stand-ins.
 */
package org.gypsumroute.test

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.slf4j.LoggerFactory

/** Sends warnings and errors to standard error and drops the rest. */
internal fun logWarningsToStandardError() {
    val logging = LoggerFactory.getILoggerFactory() as LoggerContext
    logging.reset()
    val lines = PatternLayoutEncoder().apply {
        context = logging
        pattern = "%d %level %logger{0} %msg%n"
        start()
    }
    val standardError = ConsoleAppender<ILoggingEvent>().apply {
        context = logging
        target = "System.err"
        encoder = lines
        start()
    }
    logging.getLogger(Logger.ROOT_LOGGER_NAME).apply {
        level = Level.WARN
        addAppender(standardError)
    }
}
