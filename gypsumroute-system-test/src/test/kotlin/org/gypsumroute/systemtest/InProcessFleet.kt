package org.gypsumroute.systemtest

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.agent.AgentProcess
import org.gypsumroute.agent.AgentSettings
import org.gypsumroute.agent.BackEnd
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RegionId
import org.gypsumroute.core.Timings
import org.gypsumroute.entry.EntryProcess
import org.gypsumroute.entry.EntrySettings
import org.gypsumroute.process.NodeSettings
import org.gypsumroute.process.SharedKey
import org.gypsumroute.runtime.LogFormat
import org.gypsumroute.test.ConfigurationStandIn
import org.gypsumroute.test.EngineStandIn
import org.gypsumroute.test.HostListStandIn
import org.gypsumroute.test.ListedHost
import org.gypsumroute.test.PlainServiceStandIn

/** An entry, an agent with an engine and an agent with a plain service, all in this JVM. */
internal class InProcessFleet : AutoCloseable {
    val plainService = PlainServiceStandIn()
    private val engine = EngineStandIn()
    private val configuration = ConfigurationStandIn(
        listOf("menu-writer", "order-desk").associateWith {
            Files.readAllBytes(Path.of("../examples/demo/$it.yaml"))
        }
    )
    private val hostList = HostListStandIn()
    private val exitCodes = List(PROCESS_COUNT) { CompletableFuture<Int>() }
    private val agents = listOf(
        agent(0, "menu-engines", BackEnd.Engine("http://${engine.address}")),
        agent(1, "order-services", BackEnd.PlainService("http://${plainService.address}"))
    )
    private val entry = EntryProcess(
        EntrySettings(
            node = node("entry-1"),
            callersAddress = LOOPBACK,
            callersPort = 0,
            operatorsAddress = LOOPBACK,
            operatorsPort = 0,
            largestBody = Bytes(1_000_000),
            bodyTime = 5.seconds,
            openRequests = 100,
            bufferedBytes = Bytes(10_000_000)
        )
    ) { exitCodes[2].complete(it) }
    private val client = HttpClient.newHttpClient()

    init {
        agents.forEach { it.start() }
        hostList.setHosts(
            listOf(
                listedHost("agent-0", "menu-engines", agents[0].port),
                listedHost("agent-1", "order-services", agents[1].port)
            )
        )
        entry.start()
    }

    /**
     * Posts a request. Repeats it for up to 10 s while it is answered with 503, which means that it
     * was not run because no endpoint was available.
     */
    fun post(path: String, body: String, vararg headers: Pair<String, String>): Answer {
        val startNanoseconds = System.nanoTime()
        while (true) {
            val answer = postOnce(path, body, headers.toMap())
            val elapsed = (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_SECOND
            if (answer.statusCode() != STATUS_UNAVAILABLE || elapsed > TIMEOUT_SECONDS) {
                return Answer(answer.statusCode(), answer.body())
            }
            TimeUnit.MILLISECONDS.sleep(BACKOFF_MILLISECONDS)
        }
    }

    /** Drains all processes, as SIGTERM does, and returns their exit codes. */
    fun drain(): List<Int> {
        entry.drain()
        agents.forEach { it.drain() }
        return exitCodes.map { it.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) }
    }

    override fun close() {
        entry.stop()
        agents.forEach { it.stop() }
        listOf(engine, plainService, configuration, hostList).forEach { it.close() }
    }

    private fun postOnce(path: String, body: String, headers: Map<String, String>) = client.send(
        HttpRequest.newBuilder(URI("http://$LOOPBACK:${entry.callersPort}$path"))
            .header("Authorization", "Bearer demo-key")
            .header("X-Request-Timeout", "10")
            .apply { headers.forEach { (name, value) -> header(name, value) } }
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString()
    )

    private fun agent(number: Int, pool: String, backEnd: BackEnd) = AgentProcess(
        AgentSettings(node("agent-$number"), PoolId(pool), LOOPBACK, 0, backEnd)
    ) { exitCodes[number].complete(it) }

    private fun node(host: String) = NodeSettings(
        host = HostId(host),
        region = RegionId("bagmati"),
        dataCentre = DataCentreId("thamel"),
        configurationUrl = "http://${configuration.address}",
        hostListUrl = "http://${hostList.address}",
        sharedKey = SharedKey("key-of-the-small-fleet".encodeToByteArray()),
        logFormat = LogFormat.TEXT,
        drainLimit = 10.seconds,
        timings = Timings(
            startupWait = 100.milliseconds,
            engineCheck = 100.milliseconds,
            orderStagger = 10.milliseconds
        )
    )

    private fun listedHost(host: String, pool: String, port: Int) =
        ListedHost(host, "AGENT", "bagmati", "thamel", LOOPBACK, port, pool)

    /** Status and body of an HTTP response. */
    data class Answer(val status: Int, val body: String)

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val PROCESS_COUNT = 3
        const val STATUS_UNAVAILABLE = 503
        const val TIMEOUT_SECONDS = 10L
        const val BACKOFF_MILLISECONDS = 50L
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}
