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
 * Events beyond [maxLinesPerSecond], and those that arrive while the queue is full by their number
 * or by [maxQueuedCharacters], are dropped and counted; a line made by [formatDroppedLine] reports
 * their number. Warnings and errors are dropped only beyond twice the rate.
 */
internal class BoundedLogAppender(
    private val output: OutputStream,
    private val formatLine: (ILoggingEvent) -> String,
    private val formatDroppedLine: (Long) -> String,
    private val maxLinesPerSecond: Int = DEFAULT_MAX_LINES_PER_SECOND,
    private val maxQueuedCharacters: Long = DEFAULT_MAX_QUEUED_CHARACTERS
) : AppenderBase<ILoggingEvent>() {
    private val queue = ArrayBlockingQueue<QueuedEvent>(QUEUE_CAPACITY_LINES)
    private val queuedCharacters = AtomicLong()
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
        if (!withinRate(event) || !enqueue(event)) dropped.incrementAndGet()
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

    /** Queues an event unless there is no room. Called while the appender's lock is held. */
    private fun enqueue(event: ILoggingEvent): Boolean {
        val characters = charactersOf(event)
        if (queuedCharacters.get() + characters > maxQueuedCharacters) return false
        val queued = queue.offer(QueuedEvent(event, characters))
        if (queued) queuedCharacters.addAndGet(characters)
        return queued
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
        while (true) {
            val queued = queue.poll() ?: break
            queuedCharacters.addAndGet(-queued.characters)
            lines.append(formatLine(queued.event))
            if (lines.length >= BATCH_CHARACTERS) write(lines)
        }
        val droppedCount = dropped.getAndSet(0)
        if (droppedCount > 0) lines.append(formatDroppedLine(droppedCount))
        write(lines)
        output.flush()
    }

    /** Writes and empties [lines], if there are any. */
    private fun write(lines: StringBuilder) {
        if (lines.isEmpty()) return
        output.write(lines.toString().encodeToByteArray())
        lines.setLength(0)
    }

    /** About the length of the texts of an event, which are most of its memory. */
    private fun charactersOf(event: ILoggingEvent): Long = event.message.orEmpty().length +
        event.keyValuePairs.orEmpty().sumOf { (it.value as? String)?.length?.toLong() ?: 0L }

    /** An event in the queue, where it counts as [characters]. */
    private class QueuedEvent(val event: ILoggingEvent, val characters: Long)

    private companion object {
        const val DEFAULT_MAX_LINES_PER_SECOND = 500
        const val QUEUE_CAPACITY_LINES = 4096
        const val DEFAULT_MAX_QUEUED_CHARACTERS = 2L * 1024 * 1024

        /** Lines are written in parts of about this size, so that their copies stay small. */
        const val BATCH_CHARACTERS = 64 * 1024
        const val WRITE_DELAY_MS = 20L
        const val MS_PER_SECOND = 1000L
    }
}
