/*
 * The parts that the roles entry and agent have in common: control thread, connections, platform
 * clients, metrics and logs.
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

/** One process, from [start] to [stop]. [onFinished] is called once with the exit code. */
class NodeProcess(
    settings: NodeSettings,
    initial: NodeState,
    private val traffic: TrafficHandlers,
    private val onFinished: (Int) -> Unit
) {
    private val logger = EventLogger()
    private val random = SecureRandom()

    /**
     * Scope of the traffic coroutines. A failure of one coroutine is logged and cancels no other.
     */
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

    /** The metrics of this process. */
    val metrics = NodeMetrics()

    /** Whether the process is ready for new requests. */
    @Volatile
    var isReady = false
        private set

    private val platform: PlatformDriver = PlatformDriver(settings, scope, ::offer)
    private val peerLinks: PeerLinks =
        PeerLinks(::offer, { platform.decodeDocument(it) }) { connection, frame ->
            traffic.data(connection, frame)
        }
    private val transport = PeerTransport(
        hello = initial.common.node.let {
            PeerHello(it.host, it.incarnation, it.role, it.dataCentre)
        },
        sharedKey = settings.sharedKey.bytes,
        scope = scope,
        receiver = peerLinks,
        onHandshakeFailed = { remote, error ->
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
                peerLinks.execute(effect, scope) { transport.connect(it.address, it.port) }
            },
            caller = { traffic.caller(it) },
            engine = { traffic.engine(it) },
            setReady = { isReady = it },
            exit = onFinished
        ),
        timeSource = TimeSource.Monotonic,
        entropy = { random.nextLong() },
        timerScope = scope,
        metrics = metrics,
        logger = logger
    )

    /** The current control state. */
    val state: NodeState get() = control.state

    /** Burn rates of the service-level objectives. */
    val burnRates: BurnRateTracker get() = control.burnRates

    /** Passes an event to the control thread. Never blocks. */
    fun offer(event: Event) = control.offer(event)

    /** The connection with this id, or null if it is not open. */
    fun connection(id: ConnectionId): PeerConnection? = peerLinks.connection(id)

    /** The newest open connection to a host, or null if there is none. */
    fun connectionTo(host: HostId): PeerConnection? = peerLinks.connectionTo(host)

    /**
     * Accepts connections of peers and returns the bound port. Throws IOException if it is in use.
     */
    suspend fun listen(address: String, port: Int): Int = transport.listen(address, port)

    /** Starts the control thread. */
    fun start() = control.start()

    /** Begins a planned stop. [onFinished] is called when all work has ended. */
    fun drain() = offer(RuntimeEvent.DrainRequested)

    /** Ends the control thread, connections and clients without waiting for work to end. */
    fun stop() {
        control.stop()
        runBlocking { transport.stop() }
        scope.cancel()
        platform.close()
    }
}
