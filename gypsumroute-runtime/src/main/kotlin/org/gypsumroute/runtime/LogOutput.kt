/*
 * Format and destination of log lines. Log lines of libraries use the same layout but have no event
 * number.
 */
package org.gypsumroute.runtime

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.OutputStream
import java.time.Instant
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LogEvent
import org.slf4j.LoggerFactory

/** Writes all log lines of the process to standard output in one format. */
object LogOutput {
    private var appender: BoundedLogAppender? = null

    /** Replaces the configuration of Logback. Called once when a process starts. */
    fun configure(
        format: LogFormat,
        host: HostId,
        output: OutputStream = FileOutputStream(FileDescriptor.out)
    ) {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        val layout = EventLayout(format, host)
        val bounded = BoundedLogAppender(
            output,
            layout::formatLine,
            layout::formatDroppedLine
        )
        bounded.context = context
        bounded.start()
        appender = bounded
        context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.WARN
            addAppender(bounded)
        }
        context.getLogger("gypsumroute").level = Level.INFO
    }

    /** Writes the queued lines. Called once when a process ends. */
    fun close() {
        appender?.stop()
    }
}

/** Formats a log event: number, event, level, time, host and text, then the event's own fields. */
internal class EventLayout(private val format: LogFormat, private val host: HostId) {
    /** Formats the line of one log event. */
    fun formatLine(event: ILoggingEvent): String {
        val pairs = event.keyValuePairs.orEmpty().associate { it.key to it.value }
        val fields = LinkedHashMap<String, Any?>()
        fields[NUMBER_FIELD] = pairs[NUMBER_FIELD]
        fields[EVENT_FIELD] = pairs[EVENT_FIELD] ?: event.loggerName
        fields["level"] = event.level.toString().lowercase()
        fields["time"] = event.instant.toString()
        fields["host"] = host.value
        fields["text"] = event.formattedMessage
        for ((name, value) in pairs) fields.putIfAbsent(name, value)
        event.throwableProxy?.let { fields["exception"] = it.className }
        return formatFields(fields.filterValues { it != null })
    }

    /** Formats the line that reports how many lines were dropped. */
    fun formatDroppedLine(count: Long): String {
        val event = LogEvent.LOG_LINES_DROPPED
        return formatFields(
            linkedMapOf(
                NUMBER_FIELD to event.number,
                EVENT_FIELD to event.name.lowercase(),
                "level" to event.level.name.lowercase(),
                "time" to Instant.now().toString(),
                "host" to host.value,
                "text" to event.text,
                "count" to count
            )
        )
    }

    private fun formatFields(fields: Map<String, Any?>): String = when (format) {
        LogFormat.JSON -> toJson(fields)
        LogFormat.TEXT -> toText(fields)
    } + System.lineSeparator()

    private fun toJson(fields: Map<String, Any?>): String = buildJsonObject {
        for ((name, value) in fields) {
            put(name, if (value is Number) JsonPrimitive(value) else JsonPrimitive("$value"))
        }
    }.toString()

    private fun toText(fields: Map<String, Any?>): String =
        fields.entries.joinToString(" ") { (name, value) ->
            val valueText = "$value"
            if (unquotedValue.matches(valueText)) {
                "$name=$valueText"
            } else {
                "$name=${JsonPrimitive(valueText)}"
            }
        }

    private companion object {
        /**
         * Values that do not match are quoted and escaped, so that each event stays on one line.
         */
        val unquotedValue = Regex("[^\\s\"=\\p{Cntrl}]+")
    }
}
