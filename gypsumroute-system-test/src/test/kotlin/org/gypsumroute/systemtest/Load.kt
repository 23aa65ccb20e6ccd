package org.gypsumroute.systemtest

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends short completions to the entries in turn, at most [MAX_CALLS], until [stop] is called. */
internal class Load(
    private val entries: List<EntryProbe>,
    private val tokens: Int = 10,
    private val promptBytes: Int = 400
) {
    private val calls = CopyOnWriteArrayList<StreamingCall>()
    private val stopped = AtomicBoolean()
    private val sender = thread(isDaemon = true, name = "load") {
        for (number in 0 until MAX_CALLS) {
            if (stopped.get()) break
            val prompt = "short menu $number ".padEnd(promptBytes, 'x')
            calls += entries[number % entries.size].stream(prompt, tokens, 30.seconds)
            Thread.sleep(INTERVAL.inWholeMilliseconds)
        }
    }

    /** Stops sending, waits for all calls and returns their outcomes. */
    fun stop(): List<StreamOutcome> {
        stopped.set(true)
        sender.join()
        return calls.map { it.await(35.seconds) }
    }

    private companion object {
        const val MAX_CALLS = 2000
        val INTERVAL = 25.milliseconds
    }
}
