/*
 * A process of the project, started by the command of the deploy file.
 */
package standins

import java.io.Closeable
import java.io.File
import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * A gateway at the loopback address [host] with its files in [folder]. Its output is read through a
 * pipe, as a log collector does, at up to [OUTPUT_BYTES_PER_SECOND].
 */
internal class Gateway(
    val host: String,
    private val store: Store,
    private val folder: Path
) : Closeable {
    val callersPort = freePort(host)
    private val readyPort = freePort(host)
    private val exchangePort = freePort(host)
    private val metricsPort = freePort(host)
    private val settings = folder.resolve("local-$host.json")
    lateinit var process: Process
        private set

    fun start() {
        Files.writeString(settings, settingsText())
        // The port of the metrics is the only part that differs, since several processes share
        // one machine here.
        val command = deployCommand() + listOf("--metrics-port", "$metricsPort")
        process = ProcessBuilder(command)
            .redirectErrorStream(true)
            .apply {
                environment().keys.retainAll(setOf("PATH", "HOME", "JAVA_HOME", "LANG"))
                environment()["GYPSUMROUTE_BOOT"] = settings.toString()
            }
            .start()
        thread(isDaemon = true, name = "log-collector") { collectOutput() }
        // A run that is stopped leaves no process behind.
        Runtime.getRuntime().addShutdownHook(Thread { process.destroyForcibly() })
    }

    /** Waits until the gateway says that it is ready; returns whether it did. */
    fun awaitReady(record: Record, limitMs: Long = 20_000): Boolean {
        val end = System.nanoTime() + limitMs * 1_000_000
        while (System.nanoTime() < end && process.isAlive) {
            if (readyStatus() == 200) return true
            Thread.sleep(100)
        }
        record.line("the gateway is not ready; alive: ${process.isAlive}; its last output:")
        logFile().readLines().takeLast(20).forEach { record.line(it.take(300)) }
        return false
    }

    fun logFile(): File = folder.resolve("gateway-$host.log").toFile()

    override fun close() {
        if (!::process.isInitialized) return
        process.destroyForcibly()
        process.waitFor(5, TimeUnit.SECONDS)
    }

    private fun collectOutput() {
        val buffer = ByteArray(OUTPUT_BLOCK_BYTES)
        logFile().outputStream().use { log ->
            val begin = System.nanoTime()
            var total = 0L
            while (true) {
                val count = process.inputStream.read(buffer)
                if (count < 0) break
                log.write(buffer, 0, count)
                total += count
                val due = begin + total * NANOSECONDS_PER_SECOND / OUTPUT_BYTES_PER_SECOND
                val wait = (due - System.nanoTime()) / NANOSECONDS_PER_MS
                if (wait > 0) Thread.sleep(wait)
            }
        }
    }

    private fun readyStatus(): Int = try {
        val url = URI("http://$host:$readyPort/v1/ready").toURL()
        val connection = url.openConnection() as HttpURLConnection
        connection.connectTimeout = 500
        connection.readTimeout = 500
        connection.responseCode
    } catch (_: IOException) {
        0
    }

    private fun settingsText() = """{
        "node_name": "front-$host", "role": "gateway", "machine_class": "front",
        "serves": ["front", "control"], "ip": "$host", "zone": "thamel", "region": "bagmati",
        "zones": {"thamel": "bagmati", "patan": "bagmati", "bhaktapur": "bagmati"},
        "listen": {"front": "$host:$callersPort", "ready": "$host:$readyPort",
            "control": "$host:$exchangePort"},
        "port_range": [$exchangePort, $exchangePort],
        "seeds": ["$host:$exchangePort"],
        "bootstrap": true, "loss_counts": false,
        "limits": {"cpu_share": 0.57, "cores": 1, "memory_mb": 430, "max_fds": 4200,
            "link_mbps": 1000.0, "disk_mb": 0},
        "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
        "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
            "tenants", "places", "pressure", "platform", "spans"],
        "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
        "bounds": {"seed_lag_s": 3, "reuse_delay_s": 2, "stability_window_ms": 3000,
            "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
            "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
            "outer_ms": 5000, "revoke_strict": false, "revoke_ms": 5000,
            "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 100,
            "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12,
            "pass_ms": 120, "retry_after_s": 0, "stall_ms": 1500, "hold_max_ms": 20000,
            "free_ms": 4000, "max_idle_ms": 9000},
        "platform": {"address": "127.0.0.1:${store.port}", "form": "read", "writes_per_s": 400,
            "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000}
    }"""

    companion object {
        /** Some twenty times what a gateway writes for ordinary requests at its limit of lines. */
        private const val OUTPUT_BYTES_PER_SECOND = 8_000_000L
        private const val OUTPUT_BLOCK_BYTES = 64 * 1024
        private const val NANOSECONDS_PER_SECOND = 1_000_000_000L
        private const val NANOSECONDS_PER_MS = 1_000_000L

        /** The words of the command of the role `gateway`. */
        fun deployCommand(): List<String> {
            val role = Files.readAllLines(Path.of("deploy/system.toml"))
                .dropWhile { it.trim() != "[roles.gateway]" }
            val run = role.first { it.startsWith("run = ") }
            return run.substringAfter('"').substringBeforeLast('"').split(' ')
        }

        fun freePort(host: String): Int = ServerSocket().use {
            it.bind(InetSocketAddress(InetAddress.getByName(host), 0))
            it.localPort
        }
    }
}
