/*
 * A gateway process, started with the command of the deploy file.
 */
package review

import java.io.File
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines
import kotlin.io.path.writeText

/**
 * A gateway at [ip], a loopback address of its own, because the command of the deploy file fixes
 * the port of the metrics. Settings and log lie in [folder].
 */
class Gateway(
    private val name: String,
    val ip: String,
    private val folder: Path,
    val store: StoreStandIn.Door,
    private val ports: Ports,
    private val seeds: List<String> = listOf(ip),
    private val zone: String = "a"
) : AutoCloseable {
    private val settings = folder.resolve("$name.json")
    private var process: Process? = null

    /** Where callers connect. */
    val callersAddress = InetSocketAddress(ip, ports.callers)

    val pid: Long get() = process!!.pid()
    val isAlive: Boolean get() = process?.isAlive == true
    val exitCode: Int? get() = process?.takeUnless { it.isAlive }?.exitValue()

    /** Starts the process and returns at once. */
    fun start() {
        settings.writeText(settingsText())
        val builder = ProcessBuilder(command()).directory(File("."))
        builder.environment()["GYPSUMROUTE_BOOT"] = settings.toString()
        builder.redirectErrorStream(true)
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("$name.log").toFile()))
        process = builder.start().also { started += it }
    }

    /** Waits until the readiness page answers 200. */
    fun awaitReady(seconds: Int = START_SECONDS) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
        while (!isReady()) {
            if (!isAlive) throw CaseCannotRun("gateway $name ended with $exitCode")
            if (System.nanoTime() > end) throw CaseCannotRun("gateway $name is not ready")
            Thread.sleep(POLL_MS)
        }
    }

    fun isReady(): Boolean = try {
        val url = URI("http://$ip:${ports.ready}/v1/ready").toURL()
        val connection = url.openConnection() as HttpURLConnection
        connection.connectTimeout = PROBE_MS
        connection.readTimeout = PROBE_MS
        connection.responseCode == HttpURLConnection.HTTP_OK
    } catch (exception: java.io.IOException) {
        false
    }

    /** Sends a signal such as `TERM` or `STOP`. */
    fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", pid.toString()).start().waitFor()
    }

    fun waitForExit(seconds: Long): Boolean = process!!.waitFor(seconds, TimeUnit.SECONDS)

    override fun close() {
        process?.destroyForcibly()?.waitFor()
    }

    private fun command(): List<String> = Path.of("deploy/system.toml").readLines()
        .first { it.startsWith("run = ") }.substringAfter('"').substringBeforeLast('"').split(' ')

    private fun settingsText(): String {
        val seedList = seeds.joinToString(",") { "\"$it:${ports.control}\"" }
        return """
            {"node_name":"$name","role":"gateway","machine_class":"front",
             "serves":["front","control"],"ip":"$ip","zone":"$zone","region":"r",
             "zones":{"a":"r","b":"r","c":"r"},
             "listen":{"front":"$ip:${ports.callers}","ready":"$ip:${ports.ready}",
                       "control":"$ip:${ports.control}"},
             "port_range":[${ports.exchange},${ports.exchange + 15}],
             "seeds":[$seedList],"bootstrap":true,"loss_counts":false,
             "limits":{"cpu_share":0.57,"cores":1,"memory_mb":430,"max_fds":4200,
                       "link_mbps":1000.0,"disk_mb":0},
             "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
             "contracts":["base","drain","config","cost","retry","recover","engine","stream",
                          "tenants","places","pressure","platform","spans"],
             "fault_tolerance":{"machines":2,"zones":1,"regions":0},
             "bounds":{"seed_lag_s":3,"reuse_delay_s":2,"stability_window_ms":3000,"ack_ms":4000,
               "catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,
               "config_apply_ms":2000,"rollback_slack_ms":250,"outer_ms":5000,
               "revoke_strict":false,"revoke_ms":5000,"retry_budget_ratio":0.2,
               "budget_window_s":10,"retry_budget_slack":100,"cold_over":1.5,"cold_slack":5,
               "evacuate_ms":5000,"recovery_s":12,"pass_ms":120,"retry_after_s":0,
               "stall_ms":1500,"hold_max_ms":20000,"free_ms":4000,"max_idle_ms":9000},
             "platform":{"address":"${store.address}","form":"read","writes_per_s":400,
               "reads_per_s":2000,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}
        """.trimIndent()
    }

    /** Ports of all gateways of a case, as on the platform. */
    class Ports(val callers: Int, val ready: Int, val control: Int, val exchange: Int)

    companion object {
        private const val START_SECONDS = 30
        private const val POLL_MS = 50L
        private const val PROBE_MS = 1000
        private val started = java.util.concurrent.CopyOnWriteArrayList<Process>()

        init {
            Runtime.getRuntime().addShutdownHook(
                Thread { started.forEach { it.destroyForcibly() } }
            )
        }

        /** Ports that are free on 127.0.0.1; each gateway has an address of its own. */
        fun freePorts(): Ports {
            val loopback = InetAddress.getByName("127.0.0.1")
            val sockets = List(4) { ServerSocket(0, 1, loopback) }
            val ports = sockets.map { it.localPort }
            sockets.forEach { it.close() }
            return Ports(ports[0], ports[1], ports[2], ports[3])
        }

        /** Loopback addresses that another program hardly uses. */
        fun addresses(count: Int): List<String> {
            val base = 1 + (ProcessHandle.current().pid() % 120).toInt()
            val second = 1 + (System.nanoTime() / 1000 % 200).toInt()
            return List(count) { "127.$base.$second.${it + 2}" }
        }
    }
}

/** The case could not be run. */
class CaseCannotRun(message: String) : Exception(message)
