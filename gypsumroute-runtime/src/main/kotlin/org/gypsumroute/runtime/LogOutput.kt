/*
 * Form and destination of log lines. Lines of libraries pass through the same layout, without a
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

/** Sends all log lines of the process to standard output in one form. */
object LogOutput {
    private var appender: BoundedLogAppender? = null

    /** Replaces logback's configuration; called once at the start of a process. */
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
            layout::lineOf,
            layout::lineOfDropped
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

    /** Writes the lines that wait; called once at the end of a process. */
    fun close() {
        appender?.stop()
    }
}

/** Writes number, event, level, time and host, then the event's own fields. */
internal class EventLayout(private val format: LogFormat, private val host: HostId) {
    /** The line of one event. */
    fun lineOf(event: ILoggingEvent): String {
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
        return write(fields.filterValues { it != null })
    }

    /** The line that tells how many lines were dropped. */
    fun lineOfDropped(count: Long): String {
        val event = LogEvent.LOG_LINES_DROPPED
        return write(
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

    private fun write(fields: Map<String, Any?>): String = when (format) {
        LogFormat.JSON -> json(fields)
        LogFormat.TEXT -> text(fields)
    } + System.lineSeparator()

    private fun json(fields: Map<String, Any?>): String = buildJsonObject {
        for ((name, value) in fields) {
            put(name, if (value is Number) JsonPrimitive(value) else JsonPrimitive("$value"))
        }
    }.toString()

    private fun text(fields: Map<String, Any?>): String =
        fields.entries.joinToString(" ") { (name, value) ->
            val shown = "$value"
            if (plain.matches(shown)) "$name=$shown" else "$name=${JsonPrimitive(shown)}"
        }

    private companion object {
        /** Values outside this form are quoted, so that one line stays one event. */
        val plain = Regex("[^\\s\"=\\p{Cntrl}]+")
    }
}
