package org.gypsumroute.runtime

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.system.measureNanoTime
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BoundedLogAppenderTest {
    private val logger: Logger = LoggerContext().getLogger("test")

    private fun appender(output: OutputStream, maxLinesPerSecond: Int) = BoundedLogAppender(
        output,
        { "${it.message}\n" },
        { "dropped $it\n" },
        maxLinesPerSecond
    ).apply { start() }

    private fun event(text: String, level: Level = Level.INFO) =
        LoggingEvent("test", logger, level, text, null, null).apply { timeStamp = 1_000 }

    @Test
    fun `lines are written in order`() {
        val output = ByteArrayOutputStream()
        val appender = appender(output, 100)
        repeat(5) { appender.doAppend(event("line $it")) }
        appender.stop()
        assertEquals(List(5) { "line $it" }, output.toString().trim().lines())
    }

    /** Without a rate limit, a flood of log lines would use processor time that requests need. */
    @Test
    fun `lines beyond the rate are dropped and their number is written`() {
        val output = ByteArrayOutputStream()
        val appender = appender(output, 10)
        repeat(25) { appender.doAppend(event("line $it")) }
        appender.stop()
        assertEquals(11, output.toString().trim().lines().size)
        assertContains(output.toString(), "dropped 15")
    }

    @Test
    fun `warnings are written when other lines have used up the rate`() {
        val output = ByteArrayOutputStream()
        val appender = appender(output, 10)
        repeat(15) { appender.doAppend(event("line $it")) }
        appender.doAppend(event("warning", Level.WARN))
        appender.stop()
        assertContains(output.toString(), "warning")
    }

    /**
     * If the reader of standard output stops reading, the control thread must not block on logging.
     */
    @Test
    fun `an output that blocks does not block threads that log`() {
        val release = CountDownLatch(1)
        val blocked = object : OutputStream() {
            override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

            override fun write(bytes: ByteArray, from: Int, length: Int) {
                release.await(10, TimeUnit.SECONDS)
            }
        }
        val appender = appender(blocked, 100_000)
        appender.doAppend(event("first"))
        Thread.sleep(100)
        val nanoseconds = measureNanoTime { repeat(20_000) { appender.doAppend(event("line")) } }
        assertTrue(nanoseconds < TimeUnit.SECONDS.toNanos(2), "${nanoseconds / 1_000_000} ms")
        release.countDown()
        appender.stop()
    }
}
