/*
 * Processes of one test: stand-ins of the platform, agents and entries.
 */
package org.gypsumroute.systemtest

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.JsonObject

/** Starts the processes of a plan on free loopback ports; [close] kills them all. */
internal class ProcessFleet(private val plan: FleetPlan) : AutoCloseable {
    private val work: Path = Files.createTempDirectory("gypsumroute-fleet")
    private val processes = CopyOnWriteArrayList<RunningProcess>()
    private val shutdownHook = Thread { processes.forEach { it.kill() } }
    private val relays = mutableMapOf<String, FaultInjectingRelay>()
    private val agents = (plan.engines + plan.plainServices).mapIndexed { index, dataCentre ->
        PlannedAgent("agent-${index + 1}", dataCentre, FreePorts.take(), FreePorts.take())
    }
    private val configurationUrl = "http://127.0.0.1:${FreePorts.take()}"
    private val hostListUrl = "http://127.0.0.1:${FreePorts.take()}"

    /** The engine stand-ins, in the order of the plan. */
    val engines = agents.take(plan.engines.size).map { EngineProbe(it.name, it.backEndPort) }

    /** The entries, in the order of the plan. */
    val entries = plan.entries.mapIndexed { index, dataCentre ->
        EntryProbe("entry-${index + 1}", dataCentre, FreePorts.take(), FreePorts.take())
    }

    init {
        Runtime.getRuntime().addShutdownHook(shutdownHook)
    }

    /** Inserts a relay in front of an agent. Must be called before [start]. */
    fun relay(agent: String): FaultInjectingRelay =
        FaultInjectingRelay(agents.first { it.name == agent }.port).also { relays[agent] = it }

    /**
     * Starts all processes but those in [FleetPlan.startedByTest] and waits until every entry can
     * use every endpoint.
     */
    fun start(): ProcessFleet {
        startPlatform()
        val started = agents.filter { it.name !in plan.startedByTest }
        started.forEach { startAgent(it.name) }
        entries.forEach { startEntry(it.name) }
        entries.forEach { entry ->
            awaitUntil("${entry.name} is ready", START_LIMIT) { entry.isReady }
            awaitUntil("${entry.name} sees ${started.size} endpoints", START_LIMIT) {
                entry.acceptingHosts.size >= started.size
            }
        }
        return this
    }

    /** Starts an agent of the plan, or restarts it after it has ended. */
    fun startAgent(name: String): RunningProcess {
        val index = agents.indexOfFirst { it.name == name }
        val agent = agents[index]
        val backEnd = "http://127.0.0.1:${agent.backEndPort}"
        val role = if (index < plan.engines.size) {
            listOf("--pool", "menu-engines", "--engine-url", backEnd)
        } else {
            listOf("--pool", "order-services", "--plain-service-url", backEnd)
        }
        val options = listOf("--listen-port", agent.port.toString()) + role
        return startRouter("agent", name, agent.dataCentre, AGENT_JAVA, options)
    }

    /** Starts an entry of the plan, or restarts it after it has ended. */
    fun startEntry(name: String): RunningProcess {
        val entry = entries.first { it.name == name }
        val options = listOf(
            "--callers-port",
            entry.callersPort.toString(),
            "--operators-port",
            entry.operatorsPort.toString()
        )
        return startRouter("entry", name, entry.dataCentre, ENTRY_JAVA, options + plan.entryOptions)
    }

    /** The process with [name] that was started last. */
    fun process(name: String): RunningProcess = processes.last { it.name == name }

    /** The process of each agent that was started last. */
    val agentProcesses: List<RunningProcess> get() = agents.map { process(it.name) }

    /** The process of each agent and entry that was started last. */
    val routers: List<RunningProcess> get() = agentProcesses + entries.map { process(it.name) }

    /** How often the plain service of an agent executed each request body. */
    fun executionCounts(agent: String): Map<String, Int> {
        val port = agents.first { it.name == agent }.backEndPort
        return httpGet("http://127.0.0.1:$port/ledger").json.mapValues {
            it.value.stringValue!!.toInt()
        }
    }

    /** Publishes a document of a service at the configuration service. */
    fun publish(service: String, document: String) =
        check(httpPost("$configurationUrl/test/publish?name=$service", document).status == 200)

    /** Makes the configuration service answer (`up`), refuse (`unavailable`) or hang (`hang`). */
    fun setConfigurationMode(mode: String) =
        check(httpPost("$configurationUrl/test/mode?mode=$mode").status == 200)

    /** Makes the configuration service serve the documents as of [sequence]. */
    fun serveSnapshot(sequence: Long) =
        check(httpPost("$configurationUrl/test/snapshot?sequence=$sequence").status == 200)

    /** The current sequence number of the configuration service. */
    fun configurationSequence(): Long =
        httpGet("$configurationUrl/documents").json.stringField("sequence")!!.toLong()

    /** Waits until no engine holds a stream or handle; returns the time that took. */
    fun awaitEmptyEngines(limit: Duration): Duration = awaitUntil("engines are empty", limit) {
        engines.all { it.isEmpty }
    }

    /** Last log lines of all entries and agents, for messages of failed checks. */
    fun logTails(): String = processes.filter { it.name.startsWith("agent") || "entry" in it.name }
        .joinToString("\n") { it.logTail() }

    override fun close() {
        processes.forEach { it.kill() }
        relays.values.forEach { it.close() }
        Runtime.getRuntime().removeShutdownHook(shutdownHook)
        work.toFile().deleteRecursively()
    }

    private fun startPlatform() {
        val files = plan.documents.flatMap { (service, text) ->
            listOf("--document", Files.writeString(work.resolve("$service.yaml"), text).toString())
        }
        startStandIn("configuration", portOf(configurationUrl), files)
        val hosts = Files.writeString(work.resolve("hosts.json"), hostsJson())
        startStandIn("host-list", portOf(hostListUrl), listOf("--hosts", hosts.toString()))
        agents.forEachIndexed { index, agent ->
            val engine = index < plan.engines.size
            val kind = if (engine) "engine" else "plain-service"
            val options = if (engine) {
                ENGINE_OPTIONS + plan.engineOptions
            } else {
                plan.plainServiceOptions
            }
            startStandIn(kind, agent.backEndPort, options)
        }
        awaitAnswer("$configurationUrl/documents")
        awaitAnswer("$hostListUrl/hosts")
        agents.forEachIndexed { index, agent ->
            val path = if (index < plan.engines.size) "state" else "ledger"
            awaitAnswer("http://127.0.0.1:${agent.backEndPort}/$path")
        }
    }

    private fun awaitAnswer(url: String) =
        awaitUntil("$url answers", START_LIMIT) { httpGet(url).status == 200 }

    private fun hostsJson(): String {
        val records = agents.mapIndexed { index, agent ->
            val pool = if (index < plan.engines.size) "menu-engines" else "order-services"
            val port = relays[agent.name]?.port ?: agent.port
            hostJson(agent.name, "AGENT", agent.dataCentre, port, "\"$pool\"")
        } + entries.map { hostJson(it.name, "ENTRY", it.dataCentre, it.operatorsPort, "null") }
        return records.joinToString(",", "[", "]")
    }

    private fun hostJson(
        host: String,
        role: String,
        dataCentre: String,
        port: Int,
        pool: String
    ): String =
        """{"host":"$host","role":"$role","region":"bagmati","dataCentre":"$dataCentre",""" +
            """"address":"127.0.0.1","port":$port,"pool":$pool}"""

    private fun startStandIn(kind: String, port: Int, options: List<String>) {
        val command = listOf(STAND_INS, kind, "--port", port.toString()) + options
        spawn("$kind-$port", command, emptyMap())
    }

    private fun startRouter(
        role: String,
        name: String,
        dataCentre: String,
        java: String,
        options: List<String>
    ): RunningProcess {
        val node = listOf(ROUTER, role, "--host", name, "--data-centre", dataCentre)
        val environment = mapOf(
            "GYPSUMROUTE_JAVA_OPTIONS" to java,
            "GYPSUMROUTE_SHARED_KEY" to "key-of-the-fleet-under-test",
            "GYPSUMROUTE_REGION" to "bagmati",
            "GYPSUMROUTE_CONFIGURATION_URL" to configurationUrl,
            "GYPSUMROUTE_HOST_LIST_URL" to hostListUrl,
            "GYPSUMROUTE_STARTUP_WAIT" to "1",
            "GYPSUMROUTE_ORDER_STAGGER" to "0.1",
            // Shorter than the defaults, so that entries notice a new or restarted endpoint sooner.
            // The timings not listed here keep their defaults.
            "GYPSUMROUTE_IDLE_HEARTBEAT" to "1",
            "GYPSUMROUTE_LONGEST_CONNECT_BACKOFF" to "2"
        )
        return spawn(name, node + options, environment)
    }

    private fun spawn(
        name: String,
        command: List<String>,
        environment: Map<String, String>
    ): RunningProcess {
        val log = work.resolve("$name-${processes.size}.log")
        val builder = ProcessBuilder(DEFAULT_HANGUP + command).redirectErrorStream(true)
            .redirectOutput(log.toFile())
        builder.environment().putAll(environment)
        return RunningProcess(name, builder.start(), log).also { processes += it }
    }

    private fun portOf(url: String) = url.substringAfterLast(':').toInt()

    private class PlannedAgent(
        val name: String,
        val dataCentre: String,
        val port: Int,
        val backEndPort: Int
    )

    private companion object {
        /** Under `nohup`, the tests and all that they start would ignore SIGHUP. */
        val DEFAULT_HANGUP = listOf("env", "--default-signal=HUP")
        const val ROUTER = "../gypsumroute-cli/target/gypsumroute"
        const val STAND_INS = "../gypsumroute-test/target/gypsumroute-standins"
        const val AGENT_JAVA = "-Xmx48m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k"
        const val ENTRY_JAVA = "-Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k"
        val ENGINE_OPTIONS = listOf("--load-ms", "50")
        val START_LIMIT = 30.seconds
    }
}

/** Whether an endpoint on an entry's status page is connected and accepts work. */
internal fun JsonObject.isAccepting() =
    stringField("connected") == "true" && stringField("accepting") == "true"
