/*
 * Writes log lines without ever holding up the thread that logs.
 */
package org.gypsumroute.runtime

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/**
 * Queues lines for a thread of its own, which writes them together.
 *
 * Lines beyond [linesPerSecond], and those that find the queue full, are dropped and counted; a
 * line made by [lineOfDropped] tells their number. Warnings and errors may take twice the rate.
 */
internal class BoundedLogAppender(
    private val output: OutputStream,
    private val lineOf: (ILoggingEvent) -> String,
    private val lineOfDropped: (Long) -> String,
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND
) : AppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<ILoggingEvent>(CAPACITY)
    private val dropped = AtomicLong()
    private val scheduled = AtomicBoolean()
    private val writing = Any()
    private val writer: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, "log-writer").apply { isDaemon = true }
        }
    private var second = 0L
    private var linesInSecond = 0

    override fun append(event: ILoggingEvent) {
        if (!withinRate(event) || !queue.offer(event)) dropped.incrementAndGet()
        if (scheduled.compareAndSet(false, true)) {
            writer.schedule(::writeWaiting, LINGER_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
    }

    /** Writes what waits and ends the thread. */
    override fun stop() {
        if (!isStarted) return
        super.stop()
        writer.shutdownNow()
        writeWaiting()
    }

    /** Called under the appender's lock. */
    private fun withinRate(event: ILoggingEvent): Boolean {
        val now = event.timeStamp / MILLISECONDS_PER_SECOND
        if (now != second) {
            second = now
            linesInSecond = 0
        }
        val limit =
            if (event.level.isGreaterOrEqual(Level.WARN)) 2 * linesPerSecond else linesPerSecond
        return ++linesInSecond <= limit
    }

    /** Not under the appender's lock, which an output that blocks would hold against all others. */
    private fun writeWaiting() = synchronized(writing) {
        scheduled.set(false)
        val lines = StringBuilder()
        while (true) lines.append(lineOf(queue.poll() ?: break))
        val lost = dropped.getAndSet(0)
        if (lost > 0) lines.append(lineOfDropped(lost))
        output.write(lines.toString().encodeToByteArray())
        output.flush()
    }

    private companion object {
        const val DEFAULT_LINES_PER_SECOND = 500
        const val CAPACITY = 4096
        const val LINGER_MILLISECONDS = 20L
        const val MILLISECONDS_PER_SECOND = 1000L
    }
}
