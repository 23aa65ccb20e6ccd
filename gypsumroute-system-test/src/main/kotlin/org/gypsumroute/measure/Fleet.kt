/*
 * A fleet of real processes on the loopback interface, with the platform's stand-ins.
 */
package org.gypsumroute.measure

import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.cli.load.CallTarget
import org.gypsumroute.cli.load.CompletionCaller

/** Starts all processes and waits until each entry sees all endpoints; [close] ends them. */
internal class Fleet(val plan: FleetPlan, private val files: RunFiles) : AutoCloseable {
    class Agent(val host: String, val centre: String, val port: Int, val enginePort: Int) {
        val engineUrl get() = "http://$LOOPBACK:$enginePort"
    }

    class Entry(val host: String, val centre: String, val callersPort: Int, val operators: Int) {
        val callersUrl get() = "http://$LOOPBACK:$callersPort"
        val statusUrl get() = "http://$LOOPBACK:$operators/status"
    }

    private val folder = files.newFolder()
    private val running = mutableMapOf<String, LocalProcess>()
    private val configurationPort = files.port()
    private val hostListPort = files.port()
    val configurationUrl = "http://$LOOPBACK:$configurationPort"
    val hostListUrl = "http://$LOOPBACK:$hostListPort"
    val agents = plan.dataCentres.flatMap { centre ->
        List(plan.agentsPerCentre) {
            Agent("agent-$centre-${it + 1}", centre, files.port(), files.port())
        }
    }
    val entries = List(plan.entries) {
        val centre = plan.dataCentres[it % plan.dataCentres.size]
        Entry("entry-${it + 1}", centre, files.port(), files.port())
    }

    /** Starts everything. [configurationOf] may give a host another configuration service. */
    fun start(configurationOf: (String) -> String = { configurationUrl }): Fleet {
        startPlatform()
        for (agent in agents) startEngine(agent.host, agent.enginePort, plan.engine)
        for (agent in agents) awaitPage("${agent.engineUrl}/state")
        for (agent in agents) startAgent(agent, configurationOf(agent.host))
        for (entry in entries) startEntry(entry, configurationOf(entry.host))
        awaitEndpoints()
        return this
    }

    fun awaitEndpoints() {
        for (entry in entries) {
            await("${entry.host} sees ${agents.size} endpoints", START_LIMIT) {
                accepting(entry) >= agents.size
            }
        }
    }

    fun accepting(entry: Entry): Int =
        Http.get(entry.statusUrl).orEmpty().split("\"accepting\":true").size - 1

    fun publish(document: ServiceText, url: String = configurationUrl) {
        Http.post("$url/test/publish?name=${ServiceText.SERVICE}", document.yaml)
    }

    fun caller(timeoutSeconds: Int = 30) = CompletionCaller(
        CallTarget(
            entries.map { it.callersUrl },
            ServiceText.SERVICE,
            ServiceText.KEY,
            timeoutSeconds
        )
    )

    /** How often the agents logged [event] since their start. */
    fun logged(event: String): Int = agents.sumOf { agent ->
        process(agent.host).log.useLines { lines -> lines.count { event in it } }
    }

    fun process(name: String): LocalProcess = running.getValue(name)

    fun engineOf(agent: Agent): LocalProcess = process("engine-${agent.host}")

    fun startEngine(name: String, port: Int, size: EngineSize) {
        standIn("engine-$name", port, listOf("engine") + size.arguments)
    }

    fun startConfiguration(name: String, port: Int) {
        val file = File(folder, "${ServiceText.SERVICE}.yaml").apply {
            writeText(plan.document.yaml)
        }
        standIn(name, port, listOf("configuration", "--document=$file"))
        awaitPage("http://$LOOPBACK:$port/documents")
    }

    fun startHostList(name: String, port: Int, hosts: String) {
        val file = File(folder, "$name.json").apply { writeText(hosts) }
        standIn(name, port, listOf("host-list", "--hosts=$file"))
        awaitPage("http://$LOOPBACK:$port/hosts")
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
        router(agent.host, agent.centre, AGENT_JAVA, arguments, configuration, hostList)
    }

    private fun startEntry(entry: Entry, configuration: String) {
        val options = listOf(
            "--callers-port=${entry.callersPort}",
            "--operators-port=${entry.operators}"
        )
        val arguments = listOf("entry") + options + plan.entryOptions
        router(entry.host, entry.centre, ENTRY_JAVA, arguments, configuration, hostListUrl)
    }

    private fun startPlatform() {
        startConfiguration("configuration", configurationPort)
        val hosts = agents.map { hostJson(it.host, "AGENT", it.centre, it.port, "\"menu\"") } +
            entries.map { hostJson(it.host, "ENTRY", it.centre, it.operators, "null") }
        startHostList("host-list", hostListPort, hosts.joinToString(",", "[", "]"))
    }

    private fun router(
        host: String,
        centre: String,
        java: String,
        arguments: List<String>,
        configuration: String,
        hostList: String
    ) {
        val common = listOf(
            "--host=$host",
            "--region=bagmati",
            "--data-centre=$centre",
            "--configuration-url=$configuration",
            "--host-list-url=$hostList",
            "--startup-wait=1",
            "--engine-check=0.5",
            "--order-stagger=0.1"
        )
        val variables = mapOf(
            "GYPSUMROUTE_JAVA_OPTIONS" to java,
            "GYPSUMROUTE_SHARED_KEY" to "key-of-the-measured-fleet"
        )
        launch(host, listOf(files.router) + arguments + common, variables)
    }

    private fun standIn(name: String, port: Int, arguments: List<String>) {
        launch(name, listOf(files.standIns) + arguments + "--port=$port", emptyMap())
    }

    private fun launch(name: String, command: List<String>, variables: Map<String, String>) {
        running[name] = LocalProcess.start(name, command, variables, File(folder, "$name.log"))
    }

    private fun awaitPage(url: String) = await(url, START_LIMIT) { Http.get(url) != null }

    /** Ends all processes; routers get a planned stop. */
    override fun close() {
        val alive = running.values.filter { it.isAlive }
        alive.forEach { it.terminate() }
        alive.forEach { it.await(STOP_SECONDS) }
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

private fun hostJson(host: String, role: String, centre: String, port: Int, pool: String) =
    """{"host":"$host","role":"$role","region":"bagmati","dataCentre":"$centre",""" +
        """"address":"${Fleet.LOOPBACK}","port":$port,"pool":$pool}"""

/** Executables, folders and free ports for all fleets of one run. */
internal class RunFiles(root: File, private val work: File) {
    val router = File(root, "gypsumroute-cli/target/gypsumroute").path
    val standIns = File(root, "gypsumroute-test/target/gypsumroute-standins").path
    private var folders = 0
    private var nextPort = FIRST_PORT

    fun newFolder(): File = File(work, "fleet-${++folders}").apply { mkdirs() }

    /** A port below the range that outgoing connections use and that nobody listens on. */
    fun port(): Int {
        while (!isFree(++nextPort)) check(nextPort < LAST_PORT) { "no free port is left" }
        return nextPort
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
