/*
 * The calls of gateways to a store that is away at times: when and how each of them ends.
 */
package org.gypsumroute.core.gateway.records

import kotlin.random.Random
import org.gypsumroute.api.AnsweredEra
import org.gypsumroute.api.EraProblem
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.api.ReadId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.StoreEra
import org.gypsumroute.core.gateway.simulation.SimulatedClock

/** Each call ends with one event, which is given to [deliver]. */
internal class StoreCalls(
    private val clock: SimulatedClock,
    private val random: Random,
    private val store: CopiedStore,
    private val deliver: (StoreReturnMember, StoreReturnMember.Process, PublishedEvent) -> Unit
) {
    var access = StoreAccess.ANSWERS
    private val hasEraProblems = random.nextInt(4) == 0
    private val hasLateAnswers = random.nextInt(2) == 0
    private val lateAnswerAt = HashMap<StoreReturnMember, Double>()
    private val waiting = ArrayList<WaitingWatch>()

    /** Answers the watches whose changes have come. */
    fun answerChanged() {
        for (watch in waiting.toList()) answerIfChanged(watch)
    }

    /** A watch that the store has not answered. */
    class WaitingWatch(
        val member: StoreReturnMember,
        val process: StoreReturnMember.Process,
        val effect: PublishedEffect.WatchChanges
    )

    fun breakWatches(which: (WaitingWatch) -> Boolean) {
        val broken = waiting.filter(which)
        waiting.removeAll(broken)
        for (watch in broken) {
            val isSilent = access == StoreAccess.SILENT ||
                watch.member.access == StoreAccess.SILENT
            val wait = if (isSilent) CLIENT_TIMEOUT_MS else hop()
            answer(watch.member, watch.process, wait, failed(watch.effect.read, "reset"))
        }
    }

    private fun answer(
        member: StoreReturnMember,
        process: StoreReturnMember.Process,
        wait: Double,
        event: PublishedEvent
    ) {
        clock.after(wait) { deliver(member, process, event) }
    }

    /** Whether the call reaches the store and is served; else its failure follows. */
    private fun isServed(
        member: StoreReturnMember,
        process: StoreReturnMember.Process,
        read: ReadId,
        known: StoreEra
    ): Boolean {
        if (!process.isRunning) return false
        when (maxOf(access, member.access)) {
            StoreAccess.ANSWERS -> return true

            StoreAccess.REFUSES -> answer(
                member,
                process,
                hop(),
                PublishedEvent.ReadFailed(read, "503", era = eraOf(known))
            )

            StoreAccess.SILENT ->
                answer(member, process, CLIENT_TIMEOUT_MS, failed(read, "timeout"))
        }
        return false
    }

    private fun failed(read: ReadId, cause: String) = PublishedEvent.ReadFailed(read, cause)

    /** The era of an answer to a read that began when [known] was the latest. */
    private fun eraOf(known: StoreEra): AnsweredEra = when {
        hasEraProblems && random.nextInt(20) == 0 ->
            AnsweredEra(known, EraProblem.entries.random(random))

        store.era < known -> AnsweredEra(known, EraProblem.FALLEN)

        else -> AnsweredEra(store.era)
    }

    fun readSnapshot(
        member: StoreReturnMember,
        process: StoreReturnMember.Process,
        effect: PublishedEffect.ReadSnapshot
    ) {
        if (!isServed(member, process, effect.read, effect.knownEra)) return
        val event = PublishedEvent.SnapshotRead(
            effect.read,
            Revision(store.revision),
            store.items.values.toList(),
            eraOf(effect.knownEra),
            ItemsRead(store.items)
        )
        answer(member, process, answerTime(member), event)
    }

    fun watch(
        member: StoreReturnMember,
        process: StoreReturnMember.Process,
        effect: PublishedEffect.WatchChanges
    ) {
        if (!isServed(member, process, effect.read, effect.after.era)) return
        val watch = WaitingWatch(member, process, effect)
        if (!store.hasHistoryAfter(effect.after.revision)) {
            val era = eraOf(effect.after.era)
            answer(member, process, hop(), PublishedEvent.HistoryLost(effect.read, era))
            return
        }
        waiting += watch
        answerIfChanged(watch)
        clock.after(effect.wait.inWholeMilliseconds.toDouble()) {
            if (waiting.remove(watch)) answerChanges(watch)
        }
    }

    private fun answerIfChanged(watch: WaitingWatch) {
        if (store.changesAfter(watch.effect.after.revision).isEmpty()) return
        waiting -= watch
        answerChanges(watch)
    }

    private fun answerChanges(watch: WaitingWatch) {
        val changes = store.changesAfter(watch.effect.after.revision)
        val event = PublishedEvent.ChangesRead(
            watch.effect.read,
            watch.effect.after,
            Revision(store.revision),
            changes.mapNotNull { (key, record) -> record ?: removalOf(key) },
            eraOf(watch.effect.after.era),
            ItemsRead(changes)
        )
        answer(watch.member, watch.process, answerTime(watch.member), event)
    }

    /** A gateway gets at most one answer late within some seconds. */
    private fun answerTime(member: StoreReturnMember): Double {
        val isDue = clock.now - (lateAnswerAt[member] ?: 0.0) > LATE_ANSWER_INTERVAL_MS
        if (!hasLateAnswers || !isDue || random.nextInt(4) != 0) return hop()
        lateAnswerAt[member] = clock.now
        return random.nextDouble(100.0, 3500.0)
    }

    fun hop(): Double = random.nextDouble(1.0, 20.0)

    private companion object {
        const val CLIENT_TIMEOUT_MS = 3000.0
        const val LATE_ANSWER_INTERVAL_MS = 5000.0
    }
}
