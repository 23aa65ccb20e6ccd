package org.gypsumroute.systemtest

import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Real entries and agents with disruptions that overlap. Guards against answers that are wrong,
 * doubled or missing, orders that run twice, and work that stays at engines, where each fault by
 * itself does no harm.
 */
class FleetSoakTest {
    private class SentStream(val entry: String, val tokens: Int, val call: StreamingCall)

    private class SentOrder(val body: String, val answer: HttpAnswer?)

    private val streams = ConcurrentLinkedQueue<SentStream>()
    private val orders = ConcurrentLinkedQueue<SentOrder>()

    @Test
    fun `the promises hold in a short run`() = soak(FIXED_SEED, SHORT)

    /** Started by `bin/soak`: as many runs with fresh seeds as the property `soak.runs` says. */
    @Test
    fun `the promises hold in runs started by hand`() {
        val first = java.lang.Long.getLong("soak.seed") ?: Random.nextLong(1, MAX_SEED)
        repeat(Integer.getInteger("soak.runs", 0)) {
            streams.clear()
            orders.clear()
            soak(first + it, LONG)
        }
    }

    private fun soak(seed: Long, length: Duration) {
        val plan = FleetPlan(
            engines = listOf(THAMEL, THAMEL, PATAN),
            plainServices = listOf(THAMEL),
            entries = listOf(THAMEL, PATAN),
            plainServiceOptions = listOf("--call-ms", "50"),
            documents = mapOf(MENU_WRITER to menuWriter(), ORDER_DESK to orderDesk())
        )
        ProcessFleet(plan).use { fleet ->
            val relays = AGENTS.associateWith { fleet.relay(it) }
            fleet.start()
            val random = Random(seed)
            val disruptions = FleetDisruptions(fleet, relays, random)
            val end = TimeSource.Monotonic.markNow() + length
            val senders = fleet.entries.flatMap { entry ->
                listOf(
                    thread(isDaemon = true) { sendStreams(entry, Random(seed), end) },
                    thread(isDaemon = true) { sendOrders(entry, seed, end) }
                )
            }
            disruptions.run(length)
            senders.forEach { it.join() }
            checkStreams(seed, disruptions.endedEntries)
            checkOrders(seed, fleet)
            checkEnd(seed, fleet, disruptions.documentVersion)
        }
    }

    private fun sendStreams(
        entry: EntryProbe,
        random: Random,
        end: TimeSource.Monotonic.ValueTimeMark
    ) {
        while (end.hasNotPassedNow()) {
            val tokens = random.nextInt(10, 200)
            val prompt = "a menu ${random.nextInt()}".padEnd(random.nextInt(50, 4000), 'x')
            streams += SentStream(entry.name, tokens, entry.stream(prompt, tokens, TIMEOUT))
            Thread.sleep(random.nextLong(50, 250))
        }
    }

    private fun sendOrders(entry: EntryProbe, seed: Long, end: TimeSource.Monotonic.ValueTimeMark) {
        var number = 0
        while (end.hasNotPassedNow()) {
            val body = """{"order":"${entry.name}-$seed-${number++}"}"""
            orders += SentOrder(body, orderOrNull(entry, body))
            Thread.sleep(ORDER_INTERVAL_MS)
        }
    }

    /** Sends an order once; null if the entry could not be reached or broke the connection. */
    private fun orderOrNull(entry: EntryProbe, body: String): HttpAnswer? = try {
        entry.call(ORDER_DESK, "/print-orders", body, entry.actionKey(ORDER_DESK))
    } catch (_: IOException) {
        null
    } catch (_: IllegalStateException) {
        // The entry refused to issue a key.
        null
    }

    private fun checkStreams(seed: Long, endedEntries: Set<String>) {
        for (sent in streams) {
            val outcome = sent.call.await(TIMEOUT + ANSWER_SLACK)
            val expected = numberedText(sent.tokens)
            val label = "seed $seed, ${sent.entry}, ${sent.tokens} tokens: $outcome"
            if (outcome.isComplete) {
                assertEquals(expected, outcome.text, label)
            } else {
                assertTrue(expected.startsWith(outcome.text), label)
                val isCut = outcome.errorKind == null || ":" in outcome.errorKind ||
                    outcome.errorKind == NO_END_MARK
                assertTrue(!isCut || sent.entry in endedEntries, label)
            }
        }
        val complete = streams.count { it.call.await(TIMEOUT).isComplete }
        println("seed $seed: ${streams.size} streams, $complete complete, ${orders.size} orders")
        assertTrue(complete > streams.size / 4, "seed $seed: $complete of ${streams.size}")
    }

    private fun checkOrders(seed: Long, fleet: ProcessFleet) {
        val counts = fleet.executionCounts(AGENTS.last())
        for (order in orders) {
            val count = counts[order.body] ?: 0
            val label = "seed $seed: ${order.body} ran $count times, ${order.answer?.body}"
            assertTrue(count <= 1, label)
            if (order.answer?.status == OK) assertEquals(1, count, label)
            if (order.answer?.error("run_state") == "not_run") assertEquals(0, count, label)
        }
    }

    private fun checkEnd(seed: Long, fleet: ProcessFleet, version: Int) {
        fleet.awaitEmptyEngines(EMPTY_LIMIT)
        for (entry in fleet.entries) {
            awaitUntil("seed $seed: ${entry.name} uses version $version", DOCUMENT_LIMIT) {
                entry.documentVersion(MENU_WRITER) == "$version"
            }
        }
        val ended = fleet.routers.filterNot { it.isAlive }.map { it.logTail() }
        assertEquals(emptyList(), ended, "seed $seed")
    }

    private companion object {
        const val OK = 200
        const val NO_END_MARK = "no end mark"
        const val FIXED_SEED = 1L
        const val MAX_SEED = 1_000_000_000L
        const val ORDER_INTERVAL_MS = 100L
        val AGENTS = listOf("agent-1", "agent-2", "agent-3", "agent-4")
        val SHORT = 15.seconds
        val LONG = 30.seconds
        val TIMEOUT = 20.seconds
        val ANSWER_SLACK = 10.seconds

        /** Leases of entries and agents that ended run out, and successors cancel the rest. */
        val EMPTY_LIMIT = 30.seconds
        val DOCUMENT_LIMIT = 11.seconds
    }
}
