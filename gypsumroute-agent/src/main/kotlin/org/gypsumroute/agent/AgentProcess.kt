package org.gypsumroute.agent

import kotlin.time.TimeSource
import kotlinx.coroutines.runBlocking
import org.gypsumroute.api.NodeRole
import org.gypsumroute.clients.EngineClient
import org.gypsumroute.clients.PlainServiceClient
import org.gypsumroute.core.AgentState
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.actions.ActionSecret
import org.gypsumroute.process.NodeProcess
import org.gypsumroute.process.StopSignals
import org.gypsumroute.process.TrafficHandlers
import org.gypsumroute.process.addressOf
import org.gypsumroute.process.newIncarnation
import org.gypsumroute.process.newSecret
import org.gypsumroute.process.runUntilStopped
import org.gypsumroute.runtime.LogOutput

/**
 * An agent process; tests run several in one JVM. [finished] gets the exit code when a planned stop
 * is complete.
 */
class AgentProcess(private val settings: AgentSettings, finished: (Int) -> Unit) {
    private val identity = NodeIdentity(
        host = settings.node.host,
        incarnation = newIncarnation(),
        role = NodeRole.AGENT,
        region = settings.node.region,
        dataCentre = settings.node.dataCentre,
        pool = settings.pool
    )
    private val process: NodeProcess = NodeProcess(
        settings.node,
        AgentState(
            common = CommonState(identity, settings.node.timings, settings.policies),
            actionSecret = ActionSecret(newSecret())
        ),
        TrafficHandlers(
            engine = { driver.execute(it) },
            data = { connection, frame -> leases.receive(connection, frame) }
        ),
        finished
    )
    private val leases: Leases = Leases(
        scope = process.scope,
        events = process::offer,
        unexpectedFrameRetention = settings.node.timings.leaseTime,
        connectionTo = process::connectionTo
    )
    private val engineCalls = (settings.backEnd as? BackEnd.Engine)?.let {
        val client = EngineClient(addressOf(it.url))
        EngineCalls(client, process.scope, process::offer, TimeSource.Monotonic)
    }
    private val serviceCalls = (settings.backEnd as? BackEnd.PlainService)?.let {
        ServiceCalls(PlainServiceClient(addressOf(it.url)), process.scope, process::offer)
    }
    private val driver: EngineDriver =
        EngineDriver(leases, engineCalls, serviceCalls, process::offer)

    /** The port on which entries connect; 0 before [start]. */
    var port = 0
        private set

    /**
     * Opens the port and starts to work. Throws IOException if the port is in use, for example by
     * an earlier process of this agent.
     */
    fun start() {
        port = runBlocking { process.listen(settings.listenAddress, settings.listenPort) }
        process.start()
    }

    /** Begins a planned stop. */
    fun drain() = process.drain()

    /** Stops at once, without waiting for work in progress. */
    fun stop() {
        process.stop()
        engineCalls?.close()
        serviceCalls?.close()
    }
}

/** Runs an agent until it is stopped and returns the exit code. */
fun runAgent(settings: AgentSettings): Int {
    LogOutput.configure(settings.node.logFormat, settings.node.host)
    lateinit var signals: StopSignals
    val process = AgentProcess(settings) { signals.finished(it) }
    signals = StopSignals({ settings.node.drainLimit }, process::drain)
    signals.stopOnHangUp()
    return runUntilStopped(signals, process::start, process::stop)
}
