package org.gypsumroute.entry

import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.runBlocking
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.RequestId
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.entry.http.CallersHttp
import org.gypsumroute.entry.http.CallersHttpSettings
import org.gypsumroute.entry.http.OperatorsHttp
import org.gypsumroute.process.NodeProcess
import org.gypsumroute.process.StopSignals
import org.gypsumroute.process.TrafficHandlers
import org.gypsumroute.process.newIncarnation
import org.gypsumroute.process.runUntilStopped
import org.gypsumroute.runtime.LogOutput

/** An entry process; several may live in one JVM for tests. */
class EntryProcess(settings: EntrySettings, finished: (Int) -> Unit) {
    private val identity = NodeIdentity(
        host = settings.node.host,
        incarnation = newIncarnation(),
        role = NodeRole.ENTRY,
        region = settings.node.region,
        dataCentre = settings.node.dataCentre
    )
    private val requestCounter = AtomicLong()
    private val process: NodeProcess = NodeProcess(
        settings.node,
        EntryState(
            common = CommonState(identity, settings.node.timings, settings.policies),
            maxBufferedBytes = settings.bufferedBytes
        ),
        TrafficHandlers(
            caller = { exchanges.execute(it) },
            data = { connection, frame -> exchanges.receive(connection, frame) }
        ),
        finished
    )
    private val exchanges: Exchanges =
        Exchanges(process::offer, process.scope, process::connection)
    private val callers = CallersHttp(
        CallersHttpSettings(
            address = settings.callersAddress,
            port = settings.callersPort,
            largestBody = settings.largestBody.count,
            bodyTime = settings.bodyTime,
            openRequests = settings.openRequests
        ),
        exchanges,
        process::offer,
        ::newRequestId
    ) {
        process.state.common.documents.accepted.values.filterNot { it.document.withdrawn }
            .map { it.document.service }
    }
    private val operators =
        OperatorsHttp(settings.operatorsAddress, settings.operatorsPort, process)

    /** The callers' port in use; known after [start]. */
    var callersPort = 0
        private set

    /** The operators' port in use; known after [start]. */
    var operatorsPort = 0
        private set

    /** Listens and starts to work. Throws IOException if a port is in use. */
    fun start() {
        process.metrics.gauge("gypsumroute_open_exchanges", "Requests that callers wait for") {
            exchanges.size
        }
        runBlocking {
            operatorsPort = operators.start()
            process.start()
            callersPort = callers.start()
        }
    }

    /** Begins a planned stop. */
    fun drain() = process.drain()

    /** Closes everything at once. */
    fun stop() {
        callers.stop()
        operators.stop()
        process.stop()
    }

    private fun newRequestId() = RequestId(
        "${identity.host}/${identity.incarnation}/${requestCounter.incrementAndGet()}"
    )
}

/** Runs an entry until it is stopped and returns the exit code. */
fun runEntry(settings: EntrySettings): Int {
    LogOutput.configure(settings.node.logFormat, settings.node.host)
    lateinit var signals: StopSignals
    val process = EntryProcess(settings) { signals.finished(it) }
    signals = StopSignals(settings.node.drainLimit, process::drain)
    return runUntilStopped(signals, process::start, process::stop)
}
