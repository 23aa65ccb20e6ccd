package org.gypsumroute.core

import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.admission.initialShare
import org.gypsumroute.core.admission.offeredShare
import org.gypsumroute.core.admission.requestGrant
import org.gypsumroute.core.admission.slotLimit
import org.gypsumroute.core.leases.LeasePhase
import org.gypsumroute.core.leases.dispatch
import org.gypsumroute.core.requests.dispatch

/**
 * Guards against overloaded engines, leaked memory and late or repeated work in any event order.
 */
class AgentReducerPropertyTest {
    @Property(seed = "7301", tries = 200)
    fun `an agent keeps its engine within its limits and leaks no memory`(@ForAll seed: Long) {
        RandomEngineHistory(Random(seed)).run()
    }

    @Property(seed = "7302", tries = 200)
    fun `an action starts at most once`(@ForAll seed: Long) {
        RandomActionHistory(Random(seed)).run()
    }
}

/** One random sequence of events for an agent with a [FaultyEngine]. */
private class RandomEngineHistory(private val random: Random) {
    private val initialShare = listOf(0.1, 0.5).random(random)
    private val agent = AgentFixture(
        listOf(testDocument { it.copy(ramp = it.ramp.copy(initialShare = initialShare)) }),
        agentPolicies
    )
    private val prompts = mutableMapOf<LeaseId, Long>()
    private val engine = FaultyEngine(random) { prompts.getValue(it) }
    private val grantedAt = mutableMapOf<LeaseId, Moment>()
    private val opened = mutableSetOf<LeaseId>()
    private var nextCheck = agent.now

    fun run() {
        repeat(600) { randomStep() }
        assertTrue(opened.size >= 5, "only ${opened.size} opened")
        agent.state.leases.keys.forEach { observe(agent.release(it.value)) }
        repeat(80) {
            advance(1.seconds)
            while (engine.pendingEvents.isNotEmpty()) deliver()
        }
        assertEquals(emptySet(), agent.state.leases.keys.toSet())
        assertEquals(emptySet(), agent.state.ledger.reservations.keys.toSet())
        assertEquals(
            Tokens.ZERO to 0,
            agent.state.ledger.reservedMemory to agent.state.ledger.slotsInUse
        )
        assertEquals(Tokens.ZERO, agent.state.ledger.prefillingTokens)
        assertEquals(0L, engine.usedMemory)
    }

    private fun randomStep() {
        when (random.nextInt(20)) {
            in 0..3 -> requestGrant()

            in 4..6 -> randomLease(LeasePhase.GRANTED)?.let { observe(agent.dispatch(it.value)) }

            in 7..9 -> randomLease(LeasePhase.RECEIVING)?.let(::receive)

            in 10..13 -> deliver()

            in 14..15 -> engine.finishRandomStream()

            16 -> if (oneIn(3)) randomLease(LeasePhase.entries.random(random))?.let(::release)

            17 -> observe(agent.renew(*agent.state.leases.keys.map { it.value }.toTypedArray()))

            18 -> advance(random.nextInt(2_000).milliseconds)

            19 -> if (oneIn(15)) {
                engine.restart()
            } else if (oneIn(4)) {
                advance(12.seconds)
            }
        }
    }

    /** A random lease in the given phase, or in 1 of 20 cases any lease so far. */
    private fun randomLease(phase: LeasePhase): LeaseId? = if (oneIn(20)) {
        prompts.keys.randomOrNull(random)
    } else {
        agent.state.leases.values.filter { it.phase == phase }.randomOrNull(random)?.id
    }

    private fun receive(lease: LeaseId) = observe(agent.feed(EngineEvent.BodyReceived(lease)))

    private fun release(lease: LeaseId) = observe(agent.release(lease.value))

    private fun oneIn(count: Int) = random.nextInt(count) == 0

    private fun requestGrant() {
        val lease = LeaseId("lease-${prompts.size}")
        val (prompt, name) = listOf(1_000L to "short", 20_000L to "medium", 40_000L to "medium")
            .random(random)
        prompts[lease] = prompt
        val segment = random.nextInt(6) == 0
        observe(
            agent.requestGrant(lease.value) { order ->
                val sizedOrder = order.withPrompt(prompt, name)
                if (segment) sizedOrder.asSegment() else sizedOrder
            }
        )
    }

    private fun deliver() {
        if (engine.pendingEvents.isEmpty()) return
        observe(
            agent.feed(engine.pendingEvents.removeAt(random.nextInt(engine.pendingEvents.size)))
        )
    }

    private fun advance(time: Duration) {
        val until = agent.now + time
        while (nextCheck <= until) {
            agent.advance(maxOf(nextCheck - agent.now, Duration.ZERO)).also(::observe)
            nextCheck = agent.now + 2.seconds
            observe(agent.feed(RuntimeEvent.TimerFired(TimerId.EngineCheck)))
        }
        observe(agent.advance(maxOf(until - agent.now, Duration.ZERO)))
    }

    private fun observe(effects: List<Effect>) {
        effects.sent<PeerMessage.GrantIssued>().forEach {
            grantedAt.putIfAbsent(it.lease, agent.now)
        }
        for (effect in effects) {
            when (effect) {
                is EngineEffect.ReceiveBody -> checkReceived(effect.lease)
                is EngineEffect.OpenStream -> checkOpened(effect.lease)
                is EngineEffect.PrefillSegment -> checkOpened(effect.lease)
                else -> Unit
            }
            engine.apply(effect)
        }
        val reserved = agent.state.ledger.reservedMemory
        assertTrue(reserved <= Tokens(100_000), "$reserved tokens reserved")
        assertTrue(engine.usedMemory <= 100_000, "the engine holds ${engine.usedMemory} tokens")
    }

    private fun checkReceived(lease: LeaseId) {
        val granted = agent.state.leases.getValue(lease)
        val late = agent.now >= grantedAt.getValue(lease) + 5.seconds
        val renewable = granted.order.kind == WorkKind.SEGMENT
        val repeated = lease in received
        assertTrue(!late || renewable || repeated, "grant of $lease was used too late")
        received += lease
    }

    private val received = mutableSetOf<LeaseId>()

    private fun checkOpened(lease: LeaseId) {
        assertTrue(opened.add(lease), "$lease was opened twice")
        val document = agent.state.common.documents.inForce(workOrder("a").service)!!
        val ledger = agent.state.ledger
        val share = agent.state.offeredShare(document)
        assertTrue(ledger.slotsInUse <= agent.state.slotLimit(document), "share $share: too many")
        val alone = ledger.slotsInUse == 1
        assertTrue(alone || share >= 1 || ledger.prefillingTokens.count <= share * 100_000)
    }
}

/** One random sequence of events for an agent with a plain service. */
private class RandomActionHistory(private val random: Random) {
    private val document = testDocument { asPlainService(it, keptRecords = 2) }
    private val agent = AgentFixture(listOf(document))
    private val keys = (1..4).map { agent.requestActionKey() }
    private val leases = mutableMapOf<LeaseId, Int>()
    private val starts = mutableMapOf<Int, Int>()
    private val running = mutableListOf<LeaseId>()

    fun run() = repeat(300) {
        when (random.nextInt(7)) {
            0 -> requestGrant()
            1 -> randomLease()?.let { observe(agent.dispatch(it.value)) }
            2 -> randomLease()?.let { observe(agent.feed(EngineEvent.BodyReceived(it))) }
            3 -> if (random.nextInt(3) == 0) randomLease()?.let { observe(agent.release(it.value)) }
            4 -> observe(agent.advance(random.nextInt(2_000).milliseconds))
            5 -> endCall()
            6 -> randomLease()?.let { observe(agent.renew(it.value)) }
        }
    }

    /** A random lease that the agent holds, or in 1 of 5 cases any lease so far. */
    private fun randomLease(): LeaseId? =
        agent.state.leases.keys.takeIf { random.nextInt(5) > 0 }?.randomOrNull(random)
            ?: leases.keys.randomOrNull(random)

    private fun requestGrant() {
        val lease = LeaseId("lease-${leases.size}")
        val key = random.nextInt(keys.size)
        leases[lease] = key
        observe(agent.requestGrant(lease.value) { it.asAction(keys[key]) })
    }

    private fun endCall() {
        val lease = running.randomOrNull(random) ?: return
        running -= lease
        when (random.nextInt(3)) {
            0 -> observe(agent.feed(EngineEvent.CallEnded(lease, 200)))

            1 -> observe(agent.feed(EngineEvent.CallFailed(lease, reached = true, cause = "reset")))

            2 -> {
                starts.merge(leases.getValue(lease), -1, Int::plus)
                observe(agent.feed(EngineEvent.CallFailed(lease, reached = false, cause = "shut")))
            }
        }
    }

    private fun observe(effects: List<Effect>) {
        for (call in effects.filterIsInstance<EngineEffect.CallService>()) {
            running += call.lease
            val count = starts.merge(leases.getValue(call.lease), 1, Int::plus)
            assertEquals(1, count, "action ran more than once")
        }
        assertTrue(effects.none { it is EngineEffect.CancelStream }, "an action was cancelled")
        assertTrue(agent.state.actions.finishedCount <= 2)
    }
}
