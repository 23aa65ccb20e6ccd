/*
 * A fleet of entries, agents and stand-ins, run as processes on the loopback interface.
 */
package org.gypsumroute.measure

import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.cli.load.CallTarget
import org.gypsumroute.cli.load.CompletionCaller

/**
 * The processes of a [FleetPlan]. [start] starts them and waits until each entry can use all
 * endpoints; [close] ends them.
 */
internal class Fleet(val plan: FleetPlan, private val files: RunFiles) : AutoCloseable {
    class Agent(val host: String, val dataCentre: String, val port: Int, val enginePort: Int) {
        val engineUrl get() = "http://$LOOPBACK:$enginePort"
    }

    class Entry(
        val host: String,
        val dataCentre: String,
        val callersPort: Int,
        val operatorsPort: Int
    ) {
        val callersUrl get() = "http://$LOOPBACK:$callersPort"
        val statusUrl get() = "http://$LOOPBACK:$operatorsPort/status"
    }

    private val workFolder = files.newFolder()
    private val processes = mutableMapOf<String, LocalProcess>()
    private val configurationPort = files.port()
    private val hostListPort = files.port()
    val configurationUrl = "http://$LOOPBACK:$configurationPort"
    val hostListUrl = "http://$LOOPBACK:$hostListPort"
    val agents = plan.dataCentres.flatMap { dataCentre ->
        List(plan.agentsPerDataCentre) {
            Agent("agent-$dataCentre-${it + 1}", dataCentre, files.port(), files.port())
        }
    }
    val entries = List(plan.entries) {
        val dataCentre = plan.dataCentres[it % plan.dataCentres.size]
        Entry("entry-${it + 1}", dataCentre, files.port(), files.port())
    }

    /**
     * Starts all processes. [configurationOf] maps a host to the URL of its configuration service.
     */
    fun start(configurationOf: (String) -> String = { configurationUrl }): Fleet {
        startPlatform()
        for (agent in agents) startEngine(agent.host, agent.enginePort, plan.engine)
        for (agent in agents) awaitSuccess("${agent.engineUrl}/state")
        for (agent in agents) startAgent(agent, configurationOf(agent.host))
        for (entry in entries) startEntry(entry, configurationOf(entry.host))
        awaitEndpoints()
        return this
    }

    fun awaitEndpoints() {
        for (entry in entries) {
            awaitUntil("${entry.host} sees ${agents.size} endpoints", START_LIMIT) {
                countAcceptingEndpoints(entry) >= agents.size
            }
        }
    }

    fun countAcceptingEndpoints(entry: Entry): Int =
        Http.get(entry.statusUrl).orEmpty().split("\"accepting\":true").size - 1

    fun publish(document: ServiceDocumentText, url: String = configurationUrl) {
        Http.post("$url/test/publish?name=${ServiceDocumentText.SERVICE}", document.yaml)
    }

    fun newCaller(timeoutSeconds: Int = 30) = CompletionCaller(
        CallTarget(
            entries.map { it.callersUrl },
            ServiceDocumentText.SERVICE,
            ServiceDocumentText.KEY,
            timeoutSeconds
        )
    )

    /** Number of lines with [event] in the logs of all agents. */
    fun countLogged(event: String): Int = agents.sumOf { agent ->
        process(agent.host).log.useLines { lines -> lines.count { event in it } }
    }

    fun process(name: String): LocalProcess = processes.getValue(name)

    fun engineOf(agent: Agent): LocalProcess = process("engine-${agent.host}")

    fun startEngine(name: String, port: Int, size: EngineSize) {
        startStandIn("engine-$name", port, listOf("engine") + size.arguments)
    }

    fun startConfiguration(name: String, port: Int) {
        val file = File(workFolder, "${ServiceDocumentText.SERVICE}.yaml").apply {
            writeText(plan.document.yaml)
        }
        startStandIn(name, port, listOf("configuration", "--document=$file"))
        awaitSuccess("http://$LOOPBACK:$port/documents")
    }

    fun startHostList(name: String, port: Int, hosts: String) {
        val file = File(workFolder, "$name.json").apply { writeText(hosts) }
        startStandIn(name, port, listOf("host-list", "--hosts=$file"))
        awaitSuccess("http://$LOOPBACK:$port/hosts")
    }

    fun startAgent(
        agent: Agent,
        configuration: String = configurationUrl,
        hostList: String = hostListUrl
    ) {
        val options = listOf(
            "--pool=menu",
            "--listen-port=${agent.port}",
            "--engine-url=${agent.engineUrl}"
        )
        val arguments = listOf("agent") + options + plan.agentOptions
        startRouter(agent.host, agent.dataCentre, AGENT_JAVA, arguments, configuration, hostList)
    }

    private fun startEntry(entry: Entry, configuration: String) {
        val options = listOf(
            "--callers-port=${entry.callersPort}",
            "--operators-port=${entry.operatorsPort}"
        )
        val arguments = listOf("entry") + options + plan.entryOptions
        startRouter(entry.host, entry.dataCentre, ENTRY_JAVA, arguments, configuration, hostListUrl)
    }

    private fun startPlatform() {
        startConfiguration("configuration", configurationPort)
        val hosts = agents.map { hostJson(it.host, "AGENT", it.dataCentre, it.port, "\"menu\"") } +
            entries.map { hostJson(it.host, "ENTRY", it.dataCentre, it.operatorsPort, "null") }
        startHostList("host-list", hostListPort, hosts.joinToString(",", "[", "]"))
    }

    private fun startRouter(
        host: String,
        dataCentre: String,
        java: String,
        arguments: List<String>,
        configuration: String,
        hostList: String
    ) {
        val common = listOf(
            "--host=$host",
            "--region=bagmati",
            "--data-centre=$dataCentre",
            "--configuration-url=$configuration",
            "--host-list-url=$hostList",
            "--startup-wait=1",
            "--engine-check=0.5",
            "--order-stagger=0.1"
        )
        val environment = mapOf(
            "GYPSUMROUTE_JAVA_OPTIONS" to java,
            "GYPSUMROUTE_SHARED_KEY" to "key-of-the-measured-fleet"
        )
        launch(host, listOf(files.routerExecutable) + arguments + common, environment)
    }

    private fun startStandIn(name: String, port: Int, arguments: List<String>) {
        launch(name, listOf(files.standInsExecutable) + arguments + "--port=$port", emptyMap())
    }

    private fun launch(name: String, command: List<String>, environment: Map<String, String>) {
        processes[name] =
            LocalProcess.start(name, command, environment, File(workFolder, "$name.log"))
    }

    private fun awaitSuccess(url: String) = awaitUntil(url, START_LIMIT) { Http.get(url) != null }

    /** Sends SIGTERM to all processes, which is a planned stop for entries and agents. */
    override fun close() {
        val aliveProcesses = processes.values.filter { it.isAlive }
        aliveProcesses.forEach { it.terminate() }
        aliveProcesses.forEach { it.awaitExit(STOP_SECONDS) }
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
        private const val STOP_SECONDS = 15L
        private val START_LIMIT = 60.seconds
        private const val ENTRY_JAVA =
            "-Xms128m -Xmx384m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k"
        private const val AGENT_JAVA =
            "-Xmx64m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k"
    }
}

private fun hostJson(host: String, role: String, dataCentre: String, port: Int, pool: String) =
    """{"host":"$host","role":"$role","region":"bagmati","dataCentre":"$dataCentre",""" +
        """"address":"${Fleet.LOOPBACK}","port":$port,"pool":$pool}"""

/** Executables, work folders and free ports for the fleets of one run. */
internal class RunFiles(root: File, private val workFolder: File) {
    val routerExecutable = File(root, "gypsumroute-cli/target/gypsumroute").path
    val standInsExecutable = File(root, "gypsumroute-test/target/gypsumroute-standins").path
    private var folderCount = 0
    private var lastPort = FIRST_PORT

    fun newFolder(): File = File(workFolder, "fleet-${++folderCount}").apply { mkdirs() }

    /** A free port below the range that the system assigns to outgoing connections. */
    fun port(): Int {
        while (!isFree(++lastPort)) check(lastPort < LAST_PORT) { "no free port is left" }
        return lastPort
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getByName(Fleet.LOOPBACK)).use { true }
    } catch (_: java.io.IOException) {
        false
    }

    private companion object {
        const val FIRST_PORT = 23_000
        const val LAST_PORT = 31_000
    }
}
