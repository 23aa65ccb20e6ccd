/*
 * Form and destination of log lines. Lines of libraries pass through the same layout, without a
 * number.
 */
package org.gypsumroute.runtime

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.LayoutBase
import ch.qos.logback.core.encoder.LayoutWrappingEncoder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.gypsumroute.api.HostId
import org.slf4j.LoggerFactory

/** Sends all log lines of the process to standard error in one form. */
object LogOutput {
    /** Replaces logback's configuration; called once at the start of a process. */
    fun configure(format: LogFormat, host: HostId) {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        val lineEncoder = LayoutWrappingEncoder<ILoggingEvent>().also {
            it.context = context
            it.layout = EventLayout(format, host).also { layout ->
                layout.context = context
                layout.start()
            }
            it.start()
        }
        val appender = ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            target = "System.err"
            encoder = lineEncoder
            start()
        }
        context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.WARN
            addAppender(appender)
        }
        context.getLogger("gypsumroute").level = Level.INFO
    }
}

/** Writes number, event, level, time and host, then the event's own fields. */
internal class EventLayout(private val format: LogFormat, private val host: HostId) :
    LayoutBase<ILoggingEvent>() {
    override fun doLayout(event: ILoggingEvent): String {
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
        val present = fields.filterValues { it != null }
        return when (format) {
            LogFormat.JSON -> json(present)
            LogFormat.TEXT -> text(present)
        } + System.lineSeparator()
    }

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
