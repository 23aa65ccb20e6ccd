package org.gypsumroute.systemtest

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Disturbs a fleet with entries and agents in ways that overlap, drawn from [random]: processes
 * are paused, killed and stopped and start again, connections to agents break or lose frames, the
 * configuration service hangs, and documents change.
 */
internal class FleetDisruptions(
    private val fleet: ProcessFleet,
    private val agents: Map<String, FaultInjectingRelay>,
    private val random: Random
) {
    private val threads = ConcurrentLinkedQueue<Thread>()
    private val busy = ConcurrentHashMap.newKeySet<String>()

    /** Entries that were killed or stopped at any time, so that their callers may be cut off. */
    val endedEntries: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** The highest version of the document that was published. */
    @Volatile
    var documentVersion = 1
        private set

    /** Disturbs the fleet for [length], and waits until all processes run again. */
    fun run(length: Duration) {
        var passed = Duration.ZERO
        while (passed < length) {
            disturb()
            val pause = random.nextInt(200, 1500).milliseconds
            Thread.sleep(pause.inWholeMilliseconds)
            passed += pause
        }
        threads.forEach { it.join() }
        agents.values.forEach { it.acceptsConnections = true }
        fleet.setConfigurationMode("up")
    }

    private fun disturb() {
        val agent = agents.keys.random(random)
        val entry = fleet.entries.random(random).name
        val time = random.nextLong(100, 3000)
        when (random.nextInt(9)) {
            0, 1 -> occupy(agent) { pause(agent, time) }
            2 -> occupy(agent) { restart(agent, "KILL", time) { fleet.startAgent(agent) } }
            3 -> occupy(agent) { restart(agent, "TERM", time) { fleet.startAgent(agent) } }
            4 -> occupy(entry) { pause(entry, time) }
            5 -> occupy(entry) { endEntry(entry, time) }
            6 -> agents.getValue(agent).closeConnections()
            7 -> agents.getValue(agent).dropFrames(Direction.entries.random(random))
            else -> disturbDocuments(time)
        }
    }

    /** Runs [action] in a thread of its own unless another one is at work on the process. */
    private fun occupy(process: String, action: () -> Unit) {
        if (!busy.add(process)) return
        threads += thread(isDaemon = true) {
            action()
            busy -= process
        }
    }

    private fun pause(process: String, time: Long) {
        val paused = fleet.process(process)
        paused.signal("STOP")
        Thread.sleep(time)
        paused.signal("CONT")
    }

    private fun restart(process: String, signal: String, time: Long, start: () -> Unit) {
        val ending = fleet.process(process)
        ending.signal(signal)
        ending.awaitExit(STOP_LIMIT)
        Thread.sleep(time)
        start()
    }

    private fun endEntry(entry: String, time: Long) {
        endedEntries += entry
        restart(entry, "KILL", time) { fleet.startEntry(entry) }
    }

    private fun disturbDocuments(time: Long) {
        fleet.setConfigurationMode(if (time % 2 == 0L) "hang" else "unavailable")
        threads += thread(isDaemon = true) {
            Thread.sleep(time)
            fleet.setConfigurationMode("up")
            publishNext()
        }
    }

    @Synchronized
    private fun publishNext() {
        val next = documentVersion + 1
        fleet.publish(MENU_WRITER, menuWriter(version = next))
        documentVersion = next
    }

    private companion object {
        val STOP_LIMIT = 60.seconds
    }
}
