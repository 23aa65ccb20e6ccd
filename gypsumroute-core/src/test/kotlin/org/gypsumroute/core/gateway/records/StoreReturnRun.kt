/*
 * One run of gateways in front of a store that goes away and comes back from older copies, in
 * simulated time. The gateways run the real reducer; the store, its writers and the traffic are
 * simulated. The seed determines all delays, changes and troubles.
 */
package org.gypsumroute.core.gateway.records

import kotlin.random.Random
import org.gypsumroute.api.Effect
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.TableVersion
import org.gypsumroute.core.gateway.endpoints.isLeaving
import org.gypsumroute.core.gateway.simulation.SimulatedClock

/** A run of [gatewayCount] gateways; a promise that does not hold ends it with the trace. */
internal class StoreReturnRun(private val seed: Int, private val gatewayCount: Int) {
    private val random = Random(seed * 100 + gatewayCount)
    private val clock = SimulatedClock()
    private val store = CopiedStore()
    private val calls = StoreCalls(clock, random, store, ::feed)
    private val writers =
        StoreWriters(clock, random, store, { calls.access == StoreAccess.ANSWERS }, ::write)
    private val members = List(gatewayCount) { index ->
        StoreReturnMember(
            index,
            List(minOf(2, gatewayCount)) { StoreReturnMember.addressOf(it) }
        )
    }
    private val exchange =
        GatewayExchange(clock, random, members, calls::hop, ::feed, ::execute)
    private val trace = ArrayDeque<String>()

    /** Time of the last write or trouble. */
    private var disturbedAt = 0.0

    fun run() {
        writers.writeFirst()
        for (member in members) clock.after(random.nextDouble(START_MS)) { start(member) }
        val awayAt = random.nextDouble(4000.0, 7000.0)
        drawChanges(1000.0, awayAt)
        val backAt = drawReturn(awayAt, random.nextDouble(100.0, 2500.0))
        drawChanges(backAt, backAt + random.nextDouble(3500.0))
        if (random.nextInt(3) == 0) {
            val next = backAt + random.nextDouble(300.0, 12_000.0)
            drawChanges(next - 300, next)
            drawReturn(next, random.nextDouble(100.0, 1000.0))
        }
        drawTroubles(awayAt, backAt)
        runUntilQuiet()
        for (member in members) checkRecords(member)
    }

    private fun at(time: Double, action: () -> Unit) {
        clock.after((time - clock.now).coerceAtLeast(0.0), action)
    }

    private fun drawChanges(from: Double, until: Double) {
        repeat(random.nextInt(1, 14)) {
            at(random.nextDouble(from, until + 1)) { writers.change() }
        }
    }

    private fun drawReturn(awayAt: Double, time: Double): Double {
        val backAt = awayAt + time
        val mode = if (random.nextBoolean()) StoreAccess.REFUSES else StoreAccess.SILENT
        at(awayAt) { goAway(mode) }
        at(backAt) { comeBack() }
        return backAt
    }

    private fun drawTroubles(awayAt: Double, backAt: Double) {
        if (random.nextInt(2) == 0) {
            drawCut(awayAt - random.nextDouble(1000.0), backAt)
        }
        val restarting = if (random.nextInt(5) == 0) {
            members
        } else {
            List(random.nextInt(3)) { members.random(random) }
        }
        for (member in restarting) {
            at(random.nextDouble(awayAt - 1500, backAt + 4000)) { restart(member) }
        }
        repeat(random.nextInt(3)) {
            at(random.nextDouble(awayAt - 2000, backAt + 6000)) {
                store.dropHistory()
                note("store drops its history")
            }
        }
    }

    private fun drawCut(from: Double, backAt: Double) {
        val member = members.random(random)
        val mode = if (random.nextBoolean()) StoreAccess.REFUSES else StoreAccess.SILENT
        val isNever = random.nextInt(3) == 0
        val until = backAt + random.nextDouble(5000.0)
        at(from) {
            note("${member.host.value} is cut off from the store: $mode")
            member.access = mode
            calls.breakWatches { it.member === member }
        }
        if (!isNever) {
            at(until) {
                note("${member.host.value} reaches the store again")
                member.access = StoreAccess.ANSWERS
                disturbedAt = clock.now
            }
        }
    }

    private fun runUntilQuiet() {
        while (clock.now < LATEST_END_MS) {
            tick()
            if (clock.now > MIN_RUN_MS && clock.now > disturbedAt + QUIET_MS) return
        }
        error("the run does not end")
    }

    private fun tick() {
        clock.runUntil(clock.now + TICK_MS)
        for (member in members) {
            val process = member.process ?: continue
            execute(member, process, process.advance(TICK_MS.toLong()))
        }
    }

    private fun start(member: StoreReturnMember) {
        val process = member.start(clock.now)
        note("${process.name} starts")
        execute(member, process, process.begin())
        disturbedAt = clock.now
        val others = members.filter { it !== member }
        expectTableOfOthers(process, others)
    }

    private fun restart(member: StoreReturnMember) {
        val process = member.process ?: return
        note("${process.name} ends")
        member.stop()
        calls.breakWatches { it.process === process }
        at(clock.now + random.nextDouble(50.0, 700.0)) { start(member) }
    }

    /** Within two seconds, a process has the latest table of another one that reaches it. */
    private fun expectTableOfOthers(
        process: StoreReturnMember.Process,
        others: List<StoreReturnMember>
    ) {
        val versions = others.mapNotNull { other ->
            val running = other.process ?: return@mapNotNull null
            running.state.published.table?.version?.let { running to it }
        }
        clock.after(CHANGE_MS) {
            val version = versions.filter { (running, version) ->
                running.isRunning && (process.reportedVersions[running] ?: version) >= version &&
                    running in process.reportedVersions
            }.maxOfOrNull { it.second }
            val own = process.state.published.table?.version
            if (process.isRunning && !process.peerReadFailed && version != null) {
                check(own != null && own >= version) {
                    describe(process, "table $own 2 s after the start, others have $version")
                }
            }
        }
    }

    private fun goAway(mode: StoreAccess) {
        note("store goes away: $mode at revision ${store.revision}")
        calls.access = mode
        calls.breakWatches { true }
    }

    private fun comeBack() {
        val copy = store.copiesSince(clock.now - OLDEST_COPY_MS).ifEmpty {
            store.copiesSince(0.0).takeLast(1)
        }.random(random)
        val before = store.revision
        val otherWrites = if (random.nextBoolean()) 0L else random.nextLong(1, 60)
        for (member in members) {
            member.process?.checks?.noteReturn(StoreEra(store.era.value + 1))
        }
        store.comeBack(copy, otherWrites)
        calls.access = StoreAccess.ANSWERS
        note(
            "store comes back in era ${store.era} at revision ${store.revision} (copy of " +
                "${copy.revision}, before $before) with table ${store.tableVersion}, out " +
                "${store.dataCentresOut}, ${store.endpoints.values.map { textOf(it) }}"
        )
        if (random.nextInt(3) == 0) store.dropHistory()
        if (random.nextInt(3) == 0) writers.lapseSome()
        writers.writeAgain()
        disturbedAt = clock.now
    }

    private fun write(key: ItemKey, record: PublishedRecord?) {
        store.write(clock.now, key, record)
        disturbedAt = clock.now
        note("store revision ${store.revision}: $key ${textOf(record)}")
        calls.answerChanged()
        if (record is PublishedRecord.Table) expectTable(record.table.version)
    }

    /** Two seconds after the acknowledgement, a table is in force where the store was reached. */
    private fun expectTable(version: TableVersion) {
        val era = store.era
        val reaching = members.filter { it.access == StoreAccess.ANSWERS }
            .mapNotNull { member -> member.process?.let { member to it } }
        clock.after(CHANGE_MS) {
            for ((member, process) in reaching) {
                val wasReached = member.access == StoreAccess.ANSWERS && process.isRunning &&
                    store.era == era && calls.access == StoreAccess.ANSWERS
                val own = process.state.published.table?.version
                if (wasReached) {
                    check(own != null && own >= version) {
                        describe(process, "table $own 2 s after the write of $version")
                    }
                }
            }
        }
    }

    private fun execute(
        member: StoreReturnMember,
        process: StoreReturnMember.Process,
        effects: List<Effect>
    ) {
        for (effect in effects) {
            when (effect) {
                is PublishedEffect.ReadSnapshot -> {
                    process.checks.noteReadStarted(clock.now)
                    clock.after(calls.hop()) { calls.readSnapshot(member, process, effect) }
                }

                is PublishedEffect.WatchChanges -> {
                    process.checks.noteReadStarted(clock.now)
                    clock.after(calls.hop()) { calls.watch(member, process, effect) }
                }

                is PublishedEffect.ReadFromPeer -> exchange.readFromPeer(member, process, effect)

                is PublishedEffect.KeepRecords -> process.keep(effect)

                is ExchangeEffect.SendReport -> exchange.sendReport(member, process, effect)

                is RuntimeEffect.Log -> note(
                    "${process.name} ${effect.event} " +
                        effect.fields.joinToString { "${it.name}=${it.value}" }
                )

                else -> Unit
            }
        }
        process.checks.problem(clock.now)?.let { error(describe(process, it)) }
    }

    private fun feed(
        member: StoreReturnMember,
        process: StoreReturnMember.Process,
        event: PublishedEvent
    ) {
        if (!process.isRunning) return
        if (event !is PublishedEvent.ChangesRead || event.changes.isNotEmpty()) {
            note("${process.name} gets ${textOf(event)}")
        }
        val effects = process.feed(event)
        process.checks.noteRead(clock.now, event)
        execute(member, process, effects)
    }

    /** Every gateway that reaches the store holds what a full read of it holds. */
    private fun checkRecords(member: StoreReturnMember) {
        val process = member.process ?: return
        if (member.access != StoreAccess.ANSWERS) return
        val state = process.state
        val held = state.endpoints.mapValues {
            it.value.record.startedAt to isLeaving(state, it.value)
        }
        val stored = store.endpoints.mapValues { it.value.startedAt to it.value.leaving }
        check(held == stored) { describe(process, "endpoints $held, and $stored in the store") }
        checkTableAndOut(process)
    }

    private fun checkTableAndOut(process: StoreReturnMember.Process) {
        val published = process.state.published
        check(published.table?.version == store.tableVersion) {
            describe(process, "${published.table?.version} in force at the end")
        }
        check(published.dataCentresOut.toSet() == store.dataCentresOut) {
            describe(process, "out at the end: ${published.dataCentresOut.toSet()}")
        }
    }

    /** A gateway that reaches only others which reach the store sends as they do. */
    fun checkCutOff() {
        if (members.none { it.access == StoreAccess.ANSWERS && it.process != null }) return
        for (process in members.mapNotNull { it.process }) {
            val state = process.state
            val ready = state.endpoints.filterValues { !isLeaving(state, it) }
                .mapValues { it.value.record.startedAt }
            val stored = store.endpoints.filterValues { !it.leaving }
                .mapValues { it.value.startedAt }
            check(ready == stored) { describe(process, "ready $ready, and $stored in the store") }
            checkTableAndOut(process)
        }
    }

    private fun note(text: String) {
        trace += "%9.0f %s".format(clock.now, text)
        if (trace.size > MAX_TRACE) trace.removeFirst()
    }

    private fun describe(process: StoreReturnMember.Process, problem: String) =
        "seed $seed of $gatewayCount gateways at ${clock.now.toLong()}: ${process.name}: " +
            "$problem\n" + trace.joinToString("\n")

    private companion object {
        const val TICK_MS = 5.0
        const val START_MS = 100.0
        const val MIN_RUN_MS = 20_000.0
        const val LATEST_END_MS = 90_000.0
        const val CHANGE_MS = 2000.0
        const val OLDEST_COPY_MS = 8000.0
        const val MAX_TRACE = 3000

        /** Two seconds, and the time of a restore: the grace period and twice the lapse time. */
        const val QUIET_MS = 2000.0 + 2300 + 2 * 2400
    }
}
