/*
 * Writes log lines asynchronously, so that logging never blocks the calling thread.
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
 * Queues log events for a writer thread, which writes them to [output] in batches.
 *
 * Events beyond [maxLinesPerSecond], and those that arrive while the queue is full, are dropped and
 * counted; a line made by [formatDroppedLine] reports their number. Warnings and errors are dropped
 * only beyond twice the rate.
 */
internal class BoundedLogAppender(
    private val output: OutputStream,
    private val formatLine: (ILoggingEvent) -> String,
    private val formatDroppedLine: (Long) -> String,
    private val maxLinesPerSecond: Int = DEFAULT_MAX_LINES_PER_SECOND
) : AppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<ILoggingEvent>(QUEUE_CAPACITY_LINES)
    private val dropped = AtomicLong()
    private val writeScheduled = AtomicBoolean()
    private val writeLock = Any()
    private val writer: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, "log-writer").apply { isDaemon = true }
        }
    private var currentSecond = 0L
    private var linesInCurrentSecond = 0

    override fun append(event: ILoggingEvent) {
        if (!withinRate(event) || !queue.offer(event)) dropped.incrementAndGet()
        if (writeScheduled.compareAndSet(false, true)) {
            writer.schedule(::writeQueued, WRITE_DELAY_MS, TimeUnit.MILLISECONDS)
        }
    }

    /** Writes the queued events and ends the writer thread. */
    override fun stop() {
        if (!isStarted) return
        super.stop()
        writer.shutdownNow()
        writeQueued()
    }

    /** Called while the appender's lock is held, which guards the counter. */
    private fun withinRate(event: ILoggingEvent): Boolean {
        val now = event.timeStamp / MS_PER_SECOND
        if (now != currentSecond) {
            currentSecond = now
            linesInCurrentSecond = 0
        }
        val limit = if (event.level.isGreaterOrEqual(Level.WARN)) {
            2 * maxLinesPerSecond
        } else {
            maxLinesPerSecond
        }
        return ++linesInCurrentSecond <= limit
    }

    /**
     * Writes all queued events. Does not take the appender's lock: an output that blocks would hold
     * it, and every thread that logs would wait.
     */
    private fun writeQueued() = synchronized(writeLock) {
        writeScheduled.set(false)
        val lines = StringBuilder()
        while (true) lines.append(formatLine(queue.poll() ?: break))
        val droppedCount = dropped.getAndSet(0)
        if (droppedCount > 0) lines.append(formatDroppedLine(droppedCount))
        output.write(lines.toString().encodeToByteArray())
        output.flush()
    }

    private companion object {
        const val DEFAULT_MAX_LINES_PER_SECOND = 500
        const val QUEUE_CAPACITY_LINES = 4096
        const val WRITE_DELAY_MS = 20L
        const val MS_PER_SECOND = 1000L
    }
}
