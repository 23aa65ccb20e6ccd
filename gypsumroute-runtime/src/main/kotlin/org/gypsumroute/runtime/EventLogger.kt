package org.gypsumroute.runtime

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.LogField
import org.gypsumroute.api.LogLevel

/** Logs the numbered events of [LogEvent]. [LogOutput] configures their format and destination. */
class EventLogger(private val logger: KLogger = KotlinLogging.logger("gypsumroute")) {
    /** Logs one line. [fields] must not contain keys, tokens or prompt text. */
    fun log(event: LogEvent, fields: List<LogField> = emptyList()) {
        logger.at(levelOf(event)) {
            message = event.text
            payload = buildMap {
                put(NUMBER_FIELD, event.number)
                put(EVENT_FIELD, event.name.lowercase())
                fields.forEach { putIfAbsent(it.name, boundedValue(it.value)) }
            }
        }
    }

    private fun levelOf(event: LogEvent): Level = when (event.level) {
        LogLevel.INFO -> Level.INFO
        LogLevel.WARN -> Level.WARN
        LogLevel.ERROR -> Level.ERROR
    }
}

/** The text of a value. Callers and endpoints choose some, such as ids, and may make them long. */
private fun boundedValue(value: String): String = if (value.length <= MAX_VALUE_CHARACTERS) {
    value
} else {
    "${value.take(MAX_VALUE_CHARACTERS)}... (${value.length} characters)"
}

private const val MAX_VALUE_CHARACTERS = 512
internal const val NUMBER_FIELD = "number"
internal const val EVENT_FIELD = "event"
