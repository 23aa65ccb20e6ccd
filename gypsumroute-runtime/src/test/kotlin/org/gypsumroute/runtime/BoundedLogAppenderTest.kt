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

    /** An output that takes nothing before [release]. */
    private class BlockedOutput(private val release: CountDownLatch) : OutputStream() {
        val entered = CountDownLatch(1)
        var total = 0
        var largestWrite = 0
        var lastWrite = ""

        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

        override fun write(bytes: ByteArray, from: Int, length: Int) {
            entered.countDown()
            release.await(10, TimeUnit.SECONDS)
            total += length
            largestWrite = maxOf(largestWrite, length)
            lastWrite = String(bytes, from, length)
        }
    }

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

    /** The queue was bounded by lines alone, and long ones filled the heap. */
    @Test
    fun `long lines fill the queue by their length`() {
        val release = CountDownLatch(1)
        val blocked = BlockedOutput(release)
        val appender = appender(blocked, maxLinesPerSecond = 100_000)
        appender.doAppend(event("first"))
        blocked.entered.await(5, TimeUnit.SECONDS)
        val line = "x".repeat(20_000)
        repeat(4000) { appender.doAppend(event(line)) }
        release.countDown()
        appender.stop()
        assertTrue(blocked.largestWrite < 200_000, "${blocked.largestWrite} bytes at once")
        assertTrue(blocked.total < 3_000_000, "${blocked.total} bytes were queued")
        assertContains(blocked.lastWrite, "dropped")
    }

    /**
     * If the reader of standard output stops reading, the control thread must not block on logging.
     */
    @Test
    fun `an output that blocks does not block threads that log`() {
        val release = CountDownLatch(1)
        val appender = appender(BlockedOutput(release), 100_000)
        appender.doAppend(event("first"))
        Thread.sleep(100)
        val nanoseconds = measureNanoTime { repeat(20_000) { appender.doAppend(event("line")) } }
        assertTrue(nanoseconds < TimeUnit.SECONDS.toNanos(2), "${nanoseconds / 1_000_000} ms")
        release.countDown()
        appender.stop()
    }
}
