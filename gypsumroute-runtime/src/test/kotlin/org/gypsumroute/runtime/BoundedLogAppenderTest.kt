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

    /** A flood of lines costs processor time that requests need. */
    @Test
    fun `lines beyond the rate are dropped counted and told`() {
        val output = ByteArrayOutputStream()
        val appender = appender(output, 10)
        repeat(25) { appender.doAppend(event("line $it")) }
        appender.stop()
        assertEquals(11, output.toString().trim().lines().size)
        assertContains(output.toString(), "dropped 15")
    }

    @Test
    fun `warnings get through when the rate is used up by others`() {
        val output = ByteArrayOutputStream()
        val appender = appender(output, 10)
        repeat(15) { appender.doAppend(event("line $it")) }
        appender.doAppend(event("warning", Level.WARN))
        appender.stop()
        assertContains(output.toString(), "warning")
    }

    /** A reader of standard output that stops must not stop the control thread. */
    @Test
    fun `an output that blocks does not hold up who logs`() {
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
        val took = measureNanoTime { repeat(20_000) { appender.doAppend(event("line")) } }
        assertTrue(took < TimeUnit.SECONDS.toNanos(2), "${took / 1_000_000} ms")
        release.countDown()
        appender.stop()
    }
}
