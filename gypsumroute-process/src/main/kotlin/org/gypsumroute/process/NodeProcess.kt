/*
 * The parts that both roles have, put together: control thread, connections, platform clients,
 * metrics and logs.
 */
package org.gypsumroute.process

import java.security.SecureRandom
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.Event
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.LogField
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.NodeState
import org.gypsumroute.runtime.BurnRateTracker
import org.gypsumroute.runtime.ControlThread
import org.gypsumroute.runtime.EffectHandlers
import org.gypsumroute.runtime.EventLogger
import org.gypsumroute.runtime.NodeMetrics
import org.gypsumroute.wire.PeerConnection
import org.gypsumroute.wire.PeerHello
import org.gypsumroute.wire.PeerTransport

/** One process from [start] to [stop]; [finished] is called once with the exit code. */
class NodeProcess(
    settings: NodeSettings,
    initial: NodeState,
    private val traffic: TrafficHandlers,
    private val finished: (Int) -> Unit
) {
    private val logger = EventLogger()
    private val random = SecureRandom()

    /** Where traffic runs; an error in one coroutine leaves the others alone. */
    val scope = CoroutineScope(
        SupervisorJob() + Dispatchers.Default + CoroutineExceptionHandler { _, exception ->
            logger.log(
                LogEvent.EFFECT_FAILED,
                listOf(
                    LogField("exception", exception.javaClass.name),
                    LogField("at", exception.stackTrace.firstOrNull().toString())
                )
            )
        }
    )

    /** All metrics of this process. */
    val metrics = NodeMetrics()

    /** Whether new requests are welcome. */
    @Volatile
    var isReady = false
        private set

    private val platform: PlatformDriver = PlatformDriver(settings, scope, ::offer)
    private val links: PeerLinks =
        PeerLinks(::offer, { platform.decode(it) }) { connection, frame ->
            traffic.data(connection, frame)
        }
    private val transport = PeerTransport(
        hello = initial.common.node.let {
            PeerHello(it.host, it.incarnation, it.role, it.dataCentre)
        },
        sharedKey = settings.sharedKey.bytes,
        scope = scope,
        receiver = links,
        handshakeFailed = { remote, error ->
            logger.log(
                LogEvent.HANDSHAKE_FAILED,
                listOf(LogField("remote", remote), LogField("cause", error.detail))
            )
        }
    )
    private val control = ControlThread(
        initial = initial,
        handlers = EffectHandlers(
            platform = { platform.execute(it) },
            peer = { effect ->
                links.execute(effect, scope) { transport.connect(it.address, it.port) }
            },
            caller = { traffic.caller(it) },
            engine = { traffic.engine(it) },
            setReady = { isReady = it },
            exit = finished
        ),
        timeSource = TimeSource.Monotonic,
        entropy = { random.nextLong() },
        timerScope = scope,
        metrics = metrics,
        logger = logger
    )

    /** The latest control state. */
    val state: NodeState get() = control.state

    /** Burn rates of the objectives. */
    val burnRates: BurnRateTracker get() = control.burnRates

    /** Hands an event to the control thread; never blocks. */
    fun offer(event: Event) = control.offer(event)

    /** The open connection with this id. */
    fun connection(id: ConnectionId): PeerConnection? = links.connection(id)

    /** The newest open connection to a host. */
    fun connectionTo(host: HostId): PeerConnection? = links.connectionTo(host)

    /** Accepts connections of peers and returns the port. Throws IOException if it is in use. */
    suspend fun listen(address: String, port: Int): Int = transport.listen(address, port)

    /** Starts the control thread. */
    fun start() = control.start()

    /** Begins a planned stop; [finished] is called when all work has ended. */
    fun drain() = offer(RuntimeEvent.DrainRequested)

    /** Closes everything at once. */
    fun stop() {
        control.stop()
        runBlocking { transport.stop() }
        scope.cancel()
        platform.close()
    }
}
