package org.gypsumroute.core.fuzz

import arrow.core.right
import org.gypsumroute.api.Effect
import org.gypsumroute.api.Event
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.NodeState
import org.gypsumroute.core.reduce

/** One process with its state, event queue and timers; it can be paused, killed and restarted. */
internal abstract class SimulatedProcess(val fleet: Fleet, val record: HostRecord) {
    private var starts = 0
    private val mailbox = ArrayDeque<Event>()
    private val deferredWork = ArrayDeque<() -> Unit>()
    private val timers = mutableMapOf<TimerId, Long>()
    private var timerCount = 0L
    private var busy = false
    private var exited = false
    lateinit var state: NodeState
        private set
    var alive = false
        private set
    var paused = false
        private set

    val incarnation: IncarnationId get() = IncarnationId("${record.host}-$starts")
    val links = mutableListOf<SimulatedLink>()

    val serving: Boolean get() = alive && !paused

    fun start() {
        starts++
        alive = true
        paused = false
        exited = false
        mailbox.clear()
        deferredWork.clear()
        timers.clear()
        state = initialState()
        offer(RuntimeEvent.Started)
    }

    fun kill() {
        alive = false
        links.toList().forEach { fleet.closeLink(it, "peer died") }
        onKilled()
    }

    fun pause() {
        paused = alive
    }

    fun resume() {
        paused = false
        processMailbox()
        while (serving && deferredWork.isNotEmpty()) deferredWork.removeFirst()()
    }

    /** Runs the work of a traffic thread; a paused process runs it when it resumes. */
    fun deliver(work: () -> Unit) {
        when {
            !alive -> Unit
            paused -> deferredWork += work
            else -> work()
        }
    }

    fun offer(event: Event) {
        if (!alive) return
        mailbox += event
        processMailbox()
    }

    /** Offers an event after the latency of work on another thread or host. */
    fun offerLater(event: Event) {
        val target = incarnation
        fleet.schedule.after(fleet.latency()) { if (incarnation == target) offer(event) }
    }

    /** Offers a received control message to the reducer; a document is decoded first. */
    protected fun receiveControl(
        from: SimulatedProcess,
        link: SimulatedLink,
        message: PeerMessage
    ) {
        val host = from.record.host
        if (message is PeerMessage.DocumentOffer) {
            val document = fleet.platform.decode(message.content)
            offer(PlatformEvent.DocumentRead(host, document.right()))
        } else {
            offer(PeerEvent.Received(host, link.id, message))
        }
    }

    private fun processMailbox() {
        if (busy) return
        busy = true
        while (serving && mailbox.isNotEmpty()) {
            step(RuntimeEvent.ClockRead(fleet.schedule.now, fleet.entropy()))
            step(mailbox.removeFirst())
        }
        busy = false
    }

    private fun step(event: Event) {
        val result = reduce(state, event)
        state = result.state
        result.effects.forEach(::execute)
        fleet.checkDocumentStamps(this)
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is RuntimeEffect.SetTimer -> setTimer(effect)
            is RuntimeEffect.CancelTimer -> timers.remove(effect.timer)
            is RuntimeEffect.Exit -> exit()
            is RuntimeEffect -> Unit
            is PlatformEffect -> fleet.platform.execute(this, effect)
            else -> executeRoleEffect(effect)
        }
    }

    private fun setTimer(effect: RuntimeEffect.SetTimer) {
        val number = ++timerCount
        val owner = starts
        timers[effect.timer] = number
        fleet.schedule.after(effect.after) {
            if (owner == starts && timers[effect.timer] == number) {
                timers.remove(effect.timer)
                offer(RuntimeEvent.TimerFired(effect.timer))
            }
        }
    }

    private fun exit() {
        exited = true
        fleet.schedule.after(fleet.latency()) { if (exited) kill() }
    }

    protected fun identity() = NodeIdentity(
        host = record.host,
        incarnation = incarnation,
        role = record.role,
        region = record.region,
        dataCentre = record.dataCentre,
        pool = if (record.role == NodeRole.AGENT) record.pool else null
    )

    protected abstract fun initialState(): NodeState

    protected abstract fun executeRoleEffect(effect: Effect)

    protected open fun onKilled() = Unit

    abstract fun receive(link: SimulatedLink, frame: SimulatedFrame)
}
