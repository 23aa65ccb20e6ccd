package org.gypsumroute.runtime

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.LogField
import org.slf4j.LoggerFactory

class LogOutputTest {
    private fun line(format: LogFormat, value: String): String {
        val appender = ListAppender<ILoggingEvent>().apply { start() }
        val logger = LoggerFactory.getLogger("gypsumroute.layout") as Logger
        logger.isAdditive = false
        logger.addAppender(appender)
        EventLogger(KotlinLogging.logger("gypsumroute.layout"))
            .log(LogEvent.PEER_SILENT, listOf(LogField("peer", value), LogField("event", "other")))
        logger.detachAppender(appender)
        return EventLayout(format, HostId("entry-1")).formatLine(appender.list.single())
    }

    @Test
    fun `a JSON line begins with the fixed fields and event fields cannot replace them`() {
        val fields = Json.parseToJsonElement(line(LogFormat.JSON, "a\n\"b\"")).jsonObject
        val names = listOf("number", "event", "level", "time", "host", "text", "peer")
        assertEquals(names, fields.keys.toList())
        assertEquals("3003", fields["number"].toString())
        assertEquals("peer_silent", fields["event"]?.jsonPrimitive?.content)
        assertEquals("entry-1", fields["host"]?.jsonPrimitive?.content)
        assertEquals("a\n\"b\"", fields["peer"]?.jsonPrimitive?.content)
        Instant.parse(fields.getValue("time").jsonPrimitive.content)
    }

    /** Callers' ids of 15,900 characters made lines of 32 kB, which ended the process. */
    @Test
    fun `a long value is shortened and its length named`() {
        val long = "\"".repeat(15_900)
        val value = Json.parseToJsonElement(line(LogFormat.JSON, long)).jsonObject.getValue("peer")
        assertEquals("\"".repeat(512) + "... (15900 characters)", value.jsonPrimitive.content)
    }

    @Test
    fun `a line break in a value does not begin a second line of text`() {
        val text = line(LogFormat.TEXT, "x\nnumber=1")
        assertEquals(1, text.trimEnd().lines().size)
        assertEquals(true, text.startsWith("number=3003 event=peer_silent level=warn time="))
    }
}
