package org.gypsumroute.core

import arrow.core.right
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.AnswerEvent
import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Event
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Metric
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder
import org.gypsumroute.core.admission.refuse
import org.gypsumroute.core.drain.DrainPhase
import org.gypsumroute.core.leases.BufferLedger
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.leases.LeaseStage

/**
 * Guards against requests that end twice or never, leaked leases, a wrong `not_run`, and leases
 * requested from hosts that may not receive work. Feeds random events in any order.
 */
class EntryRandomEventsTest {
    @Property(seed = "7", tries = 400)
    fun `every request ends once and every lease is released`(@ForAll seed: Long) {
        RandomEntry(Random(seed)).run()
    }

    /** Guards against requests that nobody answers because the reducer failed on an event. */
    @Property(seed = "8", tries = 400)
    fun `every request ends once if the reducer fails on any events`(@ForAll seed: Long) {
        val reducer = FailingReducer(seed, share = 0.05) {
            it is CallerEvent || it is AnswerEvent || it is PeerEvent.Received ||
                it is RuntimeEvent.ClockRead || it is RuntimeEvent.TimerFired
        }
        RandomEntry(Random(seed), reducer).run()
    }
}

/** Drives one entry with random events and checks its effects against what agents received. */
private class RandomEntry(
    private val random: Random,
    reducer: (NodeState, Event) -> Step<NodeState> = ::reduce
) {
    private val hostNames = listOf("a1", "a2", "a3", "a4", "a5", "a6", "p1", "p2")
    private val hosts = hostNames.map { name ->
        val pool = if (name.startsWith("a")) "menu" else "desk"
        agent(name, if (name.last() in "123") "thamel" else "patan", pool = pool)
    }
    private var documentVersion = 1L
    private val entry =
        EntryHarness(listOf(menuWriter(emptySet()), orderDesk()), hosts, reducer = reducer)
    private var verifiedEffects = 0
    private var requestCount = 0
    private val orders = mutableMapOf<LeaseId, WorkOrder>()
    private val needNoRelease = mutableSetOf<LeaseId>()
    private val dispatched = mutableSetOf<LeaseId>()
    private val reportedNotRun = mutableSetOf<LeaseId>()
    private val accepted = mutableSetOf<RequestId>()
    private val failed = mutableSetOf<RequestId>()
    private val takenOrLeft = mutableSetOf<RequestId>()
    private val timers = mutableSetOf<TimerId>(TimerId.Heartbeat)

    fun run() {
        repeat(RANDOM_EVENTS) {
            applyRandomEvent()
            check()
        }
        entry.feed(RuntimeEvent.DrainRequested)
        entry.advance(20.minutes)
        // One event may fail, and the next one then ends what it would have ended.
        repeat(FURTHER_CLOCK_READINGS) { entry.advance(1.seconds) }
        check()
        (accepted + failed - takenOrLeft).forEach { takeAnswer(it) }
        check()
        assertEquals(DrainPhase.FINISHED, entry.state.common.drain)
        assertTrue(entry.state.leases.isEmpty() && entry.state.leasesByHost.isEmpty())
        assertEquals(BufferLedger(), entry.state.buffers)
        assertEquals(
            emptySet(),
            orders.keys - needNoRelease,
            "leases neither released nor expired"
        )
        val ends = entry.effects.filterIsInstance<RuntimeEffect.Count>()
            .filter { it.metric == Metric.REQUESTS }
        assertEquals((accepted + failed).size, ends.size, "each request counts once")
    }

    private fun applyRandomEvent() {
        when (random.nextInt(18)) {
            0, 1 -> entry.generate(
                nextRequestId(),
                prompt = listOf(500L, 20_000L, 150_000L).random(random)
            )

            2 -> entry.call(nextRequestId(), "/menu")

            3 -> entry.call(
                nextRequestId(),
                "/print",
                "p1~p1#${random.nextInt(1, 3)}~$requestCount~s"
            )

            4 -> requestActionKey(nextRequestId())

            5, 6, 7 -> randomLease()?.let { answerLease(it) }

            8, 9 -> randomLease()?.let { reportAnswer(it) }

            10 -> randomLease()?.let { failWork(it) }

            11 -> disconnect(hostNames.random(random))

            12 -> connect(hostNames.random(random))

            13 -> entry.advance(listOf(20, 400, 3_000).random(random).milliseconds)

            14, 15 -> timers.randomOrNull(random)?.let { timer ->
                timers -= timer
                entry.fireTimer(timer)
            }

            16 -> entry.state.requests.keys.randomOrNull(random)?.let { disconnectCaller(it) }

            else -> changeDocumentAndHosts()
        }
    }

    private fun nextRequestId(): String = "r${++requestCount}"

    private fun randomLease(): LeaseRecord? =
        entry.state.leases.values.sortedBy { it.lease.value }.randomOrNull(random)

    private fun requestActionKey(name: String) {
        entry.open(name)
        entry.feed(
            CallerEvent.ActionKeyWanted(RequestId(name), ServiceId("order-desk"), "digest-1", null)
        )
        val key = PeerMessage.ActionKeyIssued(RequestId(name), ActionKey("p1~p1#1~1~s"))
        if (random.nextBoolean() && entry.connectionOf("p1") != null) entry.receive("p1", key)
    }

    private fun answerLease(lease: LeaseRecord) {
        if (entry.connectionOf(lease.host.value) == null) return
        if (lease.stage == LeaseStage.ASKED && random.nextInt(4) == 0) {
            needNoRelease += lease.lease
            reportedNotRun += lease.lease
            entry.refuse(lease)
        } else if (lease.stage == LeaseStage.ASKED) {
            entry.grant(lease)
        } else if (lease.kind == WorkKind.SEGMENT) {
            entry.segmentReady(lease)
        }
    }

    private fun reportAnswer(lease: LeaseRecord) {
        if (lease.stage != LeaseStage.DISPATCHED || lease.kind == WorkKind.SEGMENT) return
        if (random.nextBoolean()) {
            entry.progress(lease, random.nextLong(1, 50), random.nextLong(0, 6L * 1024 * 1024))
        } else {
            entry.complete(lease, held = random.nextLong(0, 3L * 1024 * 1024))
        }
    }

    private fun failWork(lease: LeaseRecord) {
        if (entry.connectionOf(lease.host.value) == null) return
        val notRun = random.nextBoolean() && !lease.hasOutput
        needNoRelease += lease.lease
        if (notRun) reportedNotRun += lease.lease
        val kind = if (notRun) ErrorKind.ENGINE_REFUSED else ErrorKind.ENGINE_FAILED
        entry.failWork(lease, kind, if (notRun) RunState.NOT_RUN else RunState.UNKNOWN)
    }

    // Without a connection no release can be sent, so the leases there may have to expire.
    private fun allowExpiryAt(host: String) {
        needNoRelease += orders.keys.filter { entry.state.leases[it]?.host == HostId(host) }
    }

    private fun disconnect(host: String) {
        if (entry.connectionOf(host) == null) return
        allowExpiryAt(host)
        entry.disconnect(host)
    }

    private fun connect(host: String) {
        allowExpiryAt(host)
        entry.connect(host, "$host#${random.nextInt(1, 3)}")
    }

    private fun disconnectCaller(request: RequestId) {
        takenOrLeft += request
        entry.feed(CallerEvent.Left(request))
    }

    private fun takeAnswer(request: RequestId) {
        takenOrLeft += request
        entry.feed(CallerEvent.AnswerTaken(request))
    }

    private fun changeDocumentAndHosts() {
        val dataCentresOut = if (random.nextBoolean()) setOf(DataCentreId("patan")) else emptySet()
        val leaving = hostNames.random(random).takeIf { random.nextBoolean() }
        val next: List<HostRecord> = hosts.map { it.copy(leaving = it.host.value == leaving) }
        entry.feed(
            PlatformEvent.DocumentRead(null, menuWriter(dataCentresOut).right()),
            PlatformEvent.HostsRead(next)
        )
    }

    private fun menuWriter(dataCentresOut: Set<DataCentreId>) =
        testDocument(version = documentVersion++) { it.copy(dataCentresOut = dataCentresOut) }

    private fun orderDesk() = testDocument(service = "order-desk") {
        it.copy(
            kind = ServiceKind.PLAIN,
            pool = PoolId("desk"),
            actions = it.actions.copy(notRepeatable = listOf("/print"))
        )
    }

    private fun check() {
        val newEffects = entry.effects.drop(verifiedEffects)
        verifiedEffects = entry.effects.size
        newEffects.forEach { checkEffect(it) }
        assertEquals(
            entry.state.leases.keys,
            entry.state.leasesByHost.values.flatten().toSet(),
            "the index of leases by host is inconsistent"
        )
        assertTrue(entry.state.leases.values.all { it.request in entry.state.requests })
    }

    private fun checkEffect(effect: Effect) {
        when (effect) {
            is CallerEffect.AcceptBody -> accepted += effect.request
            is CallerEffect.Fail -> checkFailure(effect)
            is PeerEffect.Send -> checkMessage(effect.message)
            is RuntimeEffect.SetTimer -> timers += effect.timer
            is RuntimeEffect.CancelTimer -> timers -= effect.timer
            else -> Unit
        }
    }

    private fun checkFailure(effect: CallerEffect.Fail) {
        assertTrue(failed.add(effect.request), "${effect.request} failed twice")
        assertTrue(effect.request !in takenOrLeft, "${effect.request} failed after its end")
        if (effect.failure.runState != RunState.NOT_RUN) return
        val dispatchedForRequest = dispatched.filter { orders[it]?.request == effect.request }
        assertTrue(reportedNotRun.containsAll(dispatchedForRequest), "wrong not_run: $effect")
    }

    private fun checkMessage(message: PeerMessage) {
        when (message) {
            is PeerMessage.GrantRequest -> checkOrder(message.order)
            is PeerMessage.Dispatch -> checkDispatch(message)
            is PeerMessage.LeaseRelease -> needNoRelease += message.lease
            else -> Unit
        }
    }

    private fun checkOrder(order: WorkOrder) {
        orders[order.lease] = order
        val common = entry.state.common
        assertTrue(order.outputLimit.count in 0..100, "output limit out of range: $order")
        val host = entry.state.leases[order.lease]?.host ?: return
        val record = common.hosts.getValue(host)
        val document = common.documents.inForce(order.service)!!
        assertTrue(!record.leaving && record.dataCentre !in document.dataCentresOut)
        assertEquals(document.pool, record.pool)
    }

    private fun checkDispatch(message: PeerMessage.Dispatch) {
        val order = orders.getValue(message.lease)
        dispatched += message.lease
        if (order.kind != WorkKind.ACTION) return
        // A dispatched action may finish at its agent, so its lease need not be released.
        needNoRelease += message.lease
        val others = dispatched.filter { orders[it]?.request == order.request } - message.lease
        assertTrue(reportedNotRun.containsAll(others), "an action was dispatched twice")
    }

    private companion object {
        const val RANDOM_EVENTS = 250
        const val FURTHER_CLOCK_READINGS = 50
    }
}
