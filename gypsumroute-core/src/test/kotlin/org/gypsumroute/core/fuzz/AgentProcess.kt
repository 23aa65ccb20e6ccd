package org.gypsumroute.core.fuzz

import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.EngineEvent
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.NodeState
import org.gypsumroute.core.actions.ActionSecret

/** An agent with its engine or plain service. The engine keeps running when the agent is killed. */
internal class AgentProcess(fleet: Fleet, record: HostRecord, val engine: SimulatedEngine) :
    SimulatedProcess(fleet, record) {
    private val orders = mutableMapOf<LeaseId, Order>()
    private val expectedBodies = mutableSetOf<LeaseId>()
    private val answers = mutableMapOf<LeaseId, SimulatedFrame.Answer>()

    override fun initialState(): NodeState = AgentState(
        CommonState(identity(), fleet.timings, fleet.policies),
        ActionSecret("secret of $incarnation")
    )

    override fun executeRoleEffect(effect: Effect) {
        when (effect) {
            is PeerEffect.Connect -> error("an agent opens no connection")

            is PeerEffect.Disconnect -> withLink(effect.connection) {
                fleet.closeLink(it, "closed")
            }

            is PeerEffect.Send -> withLink(effect.connection) {
                fleet.toEntry(it, SimulatedFrame.Control(effect.message))
            }

            is EngineEffect -> executeEngineEffect(effect)

            else -> error("an agent has no effect $effect")
        }
    }

    private fun executeEngineEffect(effect: EngineEffect) {
        when (effect) {
            is EngineEffect.ReceiveBody -> expectedBodies += effect.lease

            is EngineEffect.OpenStream -> generate(effect.lease)

            is EngineEffect.PrefillSegment -> prefill(effect.lease)

            is EngineEffect.CancelStream -> cancel(effect.lease)

            is EngineEffect.ReleaseHandle -> {
                engine.handles.remove(effect.handle)
                offerLater(EngineEvent.HandleReleased(effect.handle))
            }

            is EngineEffect.CallService -> call(effect.lease)

            is EngineEffect.ReplayAnswer -> replay(effect)

            is EngineEffect.ForgetLease -> answers.remove(effect.lease)

            is EngineEffect.ReadState -> offerLater(
                if (engine.reachable) {
                    EngineEvent.StateRead(engine.state())
                } else {
                    EngineEvent.Unreachable("down")
                }
            )

            is EngineEffect.LoadModel -> {
                engine.loaded = effect.model
                engine.highestFencing = effect.fencing.value
                offerLater(EngineEvent.OrderAnswered(effect.fencing, true, ""))
            }
        }
    }

    private fun generate(lease: LeaseId) {
        val order = orders[lease] ?: return
        fleet.oracle.requestRan(order.request)
        val engineIncarnation = engine.incarnation
        engine.open(lease, order.tokens)
        work(lease, engineIncarnation) {
            val elapsed = prefillTime()
            deliver {
                offer(EngineEvent.FirstToken(lease, elapsed))
                publish(SimulatedFrame.Answer(lease, 1, complete = false), order.entry)
            }
            work(lease, engineIncarnation) {
                engine.warm = true
                engine.streams.remove(lease)
                deliver {
                    offer(EngineEvent.StreamEnded(lease, Tokens(ANSWER_TOKENS)))
                    publish(
                        SimulatedFrame.Answer(lease, ANSWER_TOKENS, complete = true),
                        order.entry
                    )
                }
            }
        }
    }

    private fun prefill(lease: LeaseId) {
        val order = orders[lease] ?: return
        fleet.oracle.requestRan(order.request)
        val engineIncarnation = engine.incarnation
        engine.open(lease, order.tokens)
        work(lease, engineIncarnation) {
            val handle = SegmentHandle(engine.export(lease), engine.name, Tokens(order.tokens))
            offer(EngineEvent.SegmentExported(lease, handle, prefillTime()))
        }
    }

    private fun work(lease: LeaseId, engineIncarnation: IncarnationId, done: () -> Unit) {
        val owner = incarnation
        fleet.schedule.after(fleet.workTime()) {
            when {
                incarnation != owner -> Unit

                engine.incarnation != engineIncarnation ->
                    offer(EngineEvent.StreamFailed(lease, reached = true, "engine restarted"))

                lease in engine.streams -> done()
            }
        }
    }

    private fun prefillTime() = if (engine.warm) {
        1.milliseconds
    } else {
        fleet.workTime() *
            COLD_SLOWDOWN
    }

    private fun cancel(lease: LeaseId) {
        if (engine.dropsCancels) return
        engine.streams.remove(lease)
        offerLater(EngineEvent.CancelConfirmed(lease))
    }

    private fun call(lease: LeaseId) {
        val order = orders[lease] ?: return
        fleet.oracle.requestRan(order.request)
        order.key?.let { fleet.oracle.actionRan(it) }
        val owner = incarnation
        fleet.schedule.after(fleet.workTime()) {
            if (incarnation == owner) {
                deliver {
                    offer(EngineEvent.CallEnded(lease, HTTP_OK))
                    publish(SimulatedFrame.Answer(lease, 1, complete = true), order.entry)
                }
            }
        }
    }

    private fun replay(effect: EngineEffect.ReplayAnswer) {
        val order = orders[effect.lease] ?: return
        val recorded = answers[effect.recorded] ?: return
        publish(recorded.copy(lease = effect.lease), order.entry)
    }

    private fun publish(answer: SimulatedFrame.Answer, entry: HostId) {
        answers[answer.lease] = answer
        links.lastOrNull { it.open && it.entry.record.host == entry }
            ?.let { fleet.toEntry(it, answer) }
    }

    override fun receive(link: SimulatedLink, frame: SimulatedFrame) {
        when (frame) {
            is SimulatedFrame.Control -> {
                recordOrder(link, frame.message)
                receiveControl(link.entry, link, frame.message)
            }

            is SimulatedFrame.Body ->
                if (expectedBodies.remove(frame.lease)) offer(EngineEvent.BodyReceived(frame.lease))

            is SimulatedFrame.Resume -> answers[frame.lease]?.let { fleet.toEntry(link, it) }

            is SimulatedFrame.Answer -> error("an agent receives no answer")
        }
    }

    private fun recordOrder(link: SimulatedLink, message: PeerMessage) {
        if (message !is PeerMessage.GrantRequest) return
        val order = message.order
        orders[order.lease] = Order(
            order.request,
            link.entry.record.host,
            order.promptTokens.count + order.outputLimit.count,
            order.actionKey
        )
    }

    override fun onKilled() {
        fleet.platform.removeProcess(this)
        expectedBodies.clear()
        answers.clear()
    }

    private fun withLink(connection: ConnectionId, use: (SimulatedLink) -> Unit) {
        links.firstOrNull { it.id == connection }?.let(use)
    }

    private class Order(
        val request: RequestId,
        val entry: HostId,
        val tokens: Long,
        val key: ActionKey?
    )

    private companion object {
        const val ANSWER_TOKENS = 8L
        const val COLD_SLOWDOWN = 10
        const val HTTP_OK = 200
    }
}
