package org.gypsumroute.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.security.SecureRandom
import java.util.concurrent.Executors
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.gypsumroute.api.Event
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.SettingsEvent
import org.gypsumroute.api.UnixTime
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Timings
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.gateway.exchange.ExchangeState
import org.gypsumroute.core.gateway.placement.ForwardPlacements
import org.gypsumroute.core.gateway.placement.GatewayPolicies
import org.gypsumroute.gateway.callers.RequestMemory
import org.gypsumroute.gateway.exchange.ReportChannel
import org.gypsumroute.gateway.forwarding.ForwardCodec
import org.gypsumroute.gateway.forwarding.ForwardTraffic
import org.gypsumroute.process.StopSignals
import org.gypsumroute.process.newIncarnation
import org.gypsumroute.process.runUntilStopped
import org.gypsumroute.runtime.ControlThread
import org.gypsumroute.runtime.EffectHandlers
import org.gypsumroute.runtime.EventLogger
import org.gypsumroute.runtime.EventSink
import org.gypsumroute.runtime.LogOutput
import org.gypsumroute.runtime.NodeMetrics
import sun.misc.Signal

/**
 * A gateway process; tests may run several in one JVM. [source] creates the reader of the published
 * records and [reservations] the client that reserves memory at engines. [onExit] is called once
 * with the exit code.
 */
class GatewayProcess(
    private val settings: GatewaySettings,
    codec: ForwardCodec,
    source: (EventSink) -> PublishedSource,
    reservations: (EventSink) -> ReservationClient,
    onExit: (Int) -> Unit
) {
    private val timerDispatcher = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "timers").apply { isDaemon = true }
    }.asCoroutineDispatcher()
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val metrics = NodeMetrics()
    private val random = SecureRandom()

    @Volatile
    private var ready = false

    /**
     * When the planned stop ends at the latest, or null before it began. Settings that change later
     * do not shorten the time for the last answers.
     */
    @Volatile
    private var drainEndsAt: TimeMark? = null
    private val published: PublishedSource = source(::offer)
    private val reservations: ReservationClient = reservations(::offer)
    private val scope = CoroutineScope(SupervisorJob() + timerDispatcher)
    private val reports = ReportChannel(
        loop,
        onReport = { from, report -> offer(ExchangeEvent.ReportReceived(from, report)) },
        onRejected = { from, wireFault ->
            offer(ExchangeEvent.ReportRejected(from, wireFault.detail))
        }
    )
    private val traffic = ForwardTraffic(
        loop,
        codec,
        settings.maxCallers,
        RequestMemory(Runtime.getRuntime().maxMemory()),
        ::offer
    )
    private val control: ControlThread = ControlThread(
        initial = GatewayState(
            common = CommonState(
                NodeIdentity(
                    settings.host,
                    newIncarnation(),
                    NodeRole.GATEWAY,
                    settings.region,
                    settings.dataCentre
                ),
                Timings(),
                defaultPolicies
            ),
            bounds = settings.bounds,
            policies = GatewayPolicies(ForwardPlacements.leastPredictedLoss),
            exchange = ExchangeState(settings.exchangeAddress, settings.seeds),
            startedAt = UnixTime(Clock.System.now().toEpochMilliseconds())
        ),
        handlers = EffectHandlers(
            setReady = { ready = it },
            exit = { code ->
                traffic.whenCallersServed(timeToServeCallers()) { onExit(code) }
            },
            published = { published.execute(it) },
            forward = { traffic.execute(it) },
            exchange = { effect ->
                if (effect is ExchangeEffect.SendReport) reports.send(effect.to, effect.report)
            },
            reservation = { this.reservations.execute(it) }
        ),
        timeSource = TimeSource.Monotonic,
        entropy = { random.nextLong() },
        timerScope = scope,
        metrics = metrics,
        logger = EventLogger()
    )

    private val probes = ProbeServer(
        loop,
        mapOf(
            settings.readyPath to ::readyPage,
            "/health" to { ProbePage(OK, "ok\n") },
            "/metrics" to { ProbePage(OK, metrics.scrape()) }
        )
    )

    private val peerServer = ProbeServer(
        loop,
        mapOf(RECORDS_PATH to { ProbePage(OK, published.encodedRecords(), "application/cbor") })
    )

    /** The bound port for callers; 0 before [start]. */
    var callersPort = 0
        private set

    /** The bound port for readiness probes; 0 before [start] or without one. */
    var readyPort = 0
        private set

    /** Longest planned stop according to the settings in force. */
    val drainTime: Duration get() = (control.state as GatewayState).bounds.drainTime

    /** Binds the ports and starts the control thread. Throws IOException if a port is in use. */
    fun start() {
        reports.start(settings.exchangeAddress)
        peerServer.start(settings.exchangeAddress.let { InetSocketAddress(it.host, it.port) })
        control.start()
        settings.readyAddress?.let { readyPort = probes.start(it).port }
        settings.metricsAddress?.let { probes.start(it) }
        callersPort = traffic.listen(settings.callersAddress).port
    }

    /** Starts a planned stop. */
    fun drain() {
        drainEndsAt = TimeSource.Monotonic.markNow() + drainTime
        traffic.drain()
        offer(RuntimeEvent.DrainRequested)
    }

    /** Reads the settings with [read] and applies what they changed. */
    fun checkSettings(read: () -> List<SettingsEvent>) {
        read().forEach { offer(it) }
    }

    /** Calls [checkSettings] once a second from now on. */
    fun watchSettings(read: () -> List<SettingsEvent>) {
        scope.launch {
            while (true) {
                delay(SETTINGS_POLL_INTERVAL)
                checkSettings(read)
            }
        }
    }

    /** Stops immediately without waiting for open requests. */
    fun stop() {
        control.stop()
        // Answers that the reducer decided on before are written before the event loop ends.
        loop.submit { }.awaitUninterruptibly(EXIT_RESERVE.inWholeMilliseconds)
        published.close()
        reservations.close()
        loop.shutdownGracefully()
        timerDispatcher.close()
    }

    private fun offer(event: Event) = control.offer(event)

    private fun timeToServeCallers(): Duration {
        val timeLeft = drainEndsAt?.let { -it.elapsedNow() } ?: drainTime
        return (timeLeft - EXIT_RESERVE).coerceAtLeast(Duration.ZERO)
    }

    private fun readyPage() =
        if (ready) ProbePage(OK, "ready\n") else ProbePage(SERVICE_UNAVAILABLE, "not ready\n")

    private companion object {
        val SETTINGS_POLL_INTERVAL = 1.seconds

        /** Part of the drain time that is kept for the end of the process itself. */
        val EXIT_RESERVE = 100.milliseconds
        const val OK = 200
        const val SERVICE_UNAVAILABLE = 503
    }
}

/**
 * Runs a gateway until it is stopped and returns the exit code. [startEvents] tell what is to be
 * logged about the settings at the start. [readSettings] returns changed settings and faults in
 * them; it is called once a second and on SIGHUP.
 */
fun runGateway(
    settings: GatewaySettings,
    codec: ForwardCodec,
    source: (EventSink) -> PublishedSource,
    reservations: (EventSink) -> ReservationClient,
    startEvents: List<SettingsEvent>,
    readSettings: () -> List<SettingsEvent>
): Int {
    LogOutput.configure(settings.logFormat, settings.host)
    lateinit var signals: StopSignals
    val process = GatewayProcess(settings, codec, source, reservations) { signals.finished(it) }
    signals = StopSignals({ process.drainTime }) { process.drain() }
    Signal.handle(Signal("HUP")) { process.checkSettings(readSettings) }
    process.checkSettings { startEvents }
    process.watchSettings(readSettings)
    return runUntilStopped(signals, process::start, process::stop)
}
