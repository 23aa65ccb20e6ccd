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

/**
 * An entry process; tests run several in one JVM. [finished] gets the exit code when a planned stop
 * is complete.
 */
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
            maxBufferedBytes = settings.bufferedBytes,
            drainLimit = settings.node.drainLimit
        ),
        TrafficHandlers(
            caller = { exchanges.execute(it) },
            data = { connection, frame -> exchanges.receive(connection, frame) }
        ),
        finished
    )
    private val exchanges: Exchanges =
        Exchanges(process::offer, process.scope, process::connection)
    private val callersHttp = CallersHttp(
        CallersHttpSettings(
            address = settings.callersAddress,
            port = settings.callersPort,
            maxBodyBytes = settings.largestBody.count,
            defaultUploadTimeout = settings.bodyTime,
            maxOpenRequests = settings.openRequests
        ),
        exchanges,
        process::offer,
        ::newRequestId
    ) {
        process.state.common.documents.accepted.values.filterNot { it.document.withdrawn }
            .map { it.document.service }
    }
    private val operatorsHttp =
        OperatorsHttp(settings.operatorsAddress, settings.operatorsPort, process)

    /** The port on which callers connect; 0 before [start]. */
    var callersPort = 0
        private set

    /** The port on which operators connect; 0 before [start]. */
    var operatorsPort = 0
        private set

    /** Opens the ports and starts to serve. Throws IOException if a port is in use. */
    fun start() {
        process.metrics.gauge("gypsumroute_open_exchanges", "Requests that callers wait for") {
            exchanges.size
        }
        runBlocking {
            operatorsPort = operatorsHttp.start()
            process.start()
            callersPort = callersHttp.start()
        }
    }

    /** Begins a planned stop. */
    fun drain() = process.drain()

    /** Stops at once, without waiting for requests in progress. */
    fun stop() {
        callersHttp.stop()
        operatorsHttp.stop()
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
    signals = StopSignals({ settings.node.drainLimit }, process::drain)
    signals.stopOnHangUp()
    return runUntilStopped(signals, process::start, process::stop)
}
