package org.gypsumroute.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.security.SecureRandom
import java.util.concurrent.Executors
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.GatewayState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Timings
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.gateway.ExchangeState
import org.gypsumroute.core.gateway.ForwardPlacements
import org.gypsumroute.core.gateway.GatewayPolicies
import org.gypsumroute.process.StopSignals
import org.gypsumroute.process.newIncarnation
import org.gypsumroute.process.runUntilStopped
import org.gypsumroute.runtime.ControlThread
import org.gypsumroute.runtime.EffectHandlers
import org.gypsumroute.runtime.EventLogger
import org.gypsumroute.runtime.EventSink
import org.gypsumroute.runtime.LogOutput
import org.gypsumroute.runtime.NodeMetrics

/**
 * A gateway process; several may live in one JVM for tests. [source] reads the published records
 * and [finished] is called once with the exit code.
 */
class GatewayProcess(
    private val settings: GatewaySettings,
    codec: ForwardCodec,
    source: (EventSink) -> PublishedSource,
    finished: (Int) -> Unit
) {
    private val timerDispatcher = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "timers").apply { isDaemon = true }
    }.asCoroutineDispatcher()
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val metrics = NodeMetrics()
    private val random = SecureRandom()

    @Volatile
    private var ready = false
    private val published: PublishedSource = source(::offer)
    private val scope = CoroutineScope(SupervisorJob() + timerDispatcher)
    private val reports = ReportChannel(
        loop,
        received = { from, report -> offer(ExchangeEvent.ReportReceived(from, report)) },
        rejected = { _, _ -> }
    )
    private val traffic = ForwardTraffic(loop, codec, ::offer)
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
            policies = GatewayPolicies(ForwardPlacements.leastLoss),
            exchange = ExchangeState(settings.exchangeAddress, settings.seeds)
        ),
        handlers = EffectHandlers(
            setReady = { ready = it },
            exit = finished,
            published = { published.execute(it) },
            forward = { traffic.execute(it) },
            exchange = { effect ->
                if (effect is ExchangeEffect.SendReport) reports.send(effect.to, effect.report)
            }
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

    /** The callers' port in use; known after [start]. */
    var callersPort = 0
        private set

    /** The port of probes in use; known after [start]. */
    var readyPort = 0
        private set

    /** Listens and starts to work. Throws IOException if a port is in use. */
    fun start() {
        reports.start(settings.exchangeAddress)
        control.start()
        settings.readyAddress?.let { readyPort = probes.start(it).port }
        settings.metricsAddress?.let { probes.start(it) }
        callersPort = traffic.listen(settings.callersAddress).port
    }

    /** Begins a planned stop. */
    fun drain() {
        traffic.drain()
        offer(RuntimeEvent.DrainRequested)
    }

    /** Closes everything at once. */
    fun stop() {
        control.stop()
        published.close()
        loop.shutdownGracefully()
        timerDispatcher.close()
    }

    private fun offer(event: org.gypsumroute.api.Event) = control.offer(event)

    private fun readyPage() =
        if (ready) ProbePage(OK, "ready\n") else ProbePage(UNAVAILABLE, "not ready\n")

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}

/** Runs a gateway until it is stopped and returns the exit code. */
fun runGateway(
    settings: GatewaySettings,
    codec: ForwardCodec,
    source: (EventSink) -> PublishedSource
): Int {
    LogOutput.configure(settings.logFormat, settings.host)
    lateinit var signals: StopSignals
    val process = GatewayProcess(settings, codec, source) { signals.finished(it) }
    signals = StopSignals(settings.drainLimit) { process.drain() }
    return runUntilStopped(signals, process::start, process::stop)
}
