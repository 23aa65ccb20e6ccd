/*
 * Main program of the stand-ins. Each process runs one stand-in.
 */
package org.gypsumroute.test

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import java.net.BindException
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds

/** Entry point of the executable `gypsumroute-standins`. */
object StandInMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        // Dozens of stand-ins share a machine; with the defaults each starts up to 64 threads.
        System.setProperty("kotlinx.coroutines.io.parallelism", "4")
        System.setProperty("kotlinx.coroutines.scheduler.core.pool.size", "2")
        logWarningsToStandardError()
        StandInCommand()
            .subcommands(
                EngineCommand(),
                PlainServiceCommand(),
                ConfigurationCommand(),
                HostListCommand()
            )
            .main(arguments)
    }
}

private class StandInCommand : CliktCommand(name = "gypsumroute-standins") {
    override fun run() = Unit
}

/** Starts a stand-in, prints its address and blocks until SIGTERM ends the process. */
private fun CliktCommand.serve(start: () -> String) {
    val address = try {
        start()
    } catch (failure: BindException) {
        throw CliktError("cannot listen: ${failure.message}", failure)
    }
    echo("listening on $address")
    CountDownLatch(1).await()
}

private class EngineCommand : CliktCommand(name = "engine") {
    private val defaults = EngineSettings()
    private val port by option("--port").int().default(0)
    private val memory by option("--memory-tokens").long().default(defaults.memoryTokens)
    private val prefill by option("--prefill-tokens-per-second").long()
        .default(defaults.prefillTokensPerSecond)
    private val decode by option("--decode-interval-ms").long()
        .default(defaults.decodeInterval.inWholeMilliseconds)
    private val coldTokens by option("--cold-tokens").long().default(defaults.coldTokens)
    private val coldSlowdown by option("--cold-slowdown").double().default(defaults.coldSlowdown)
    private val coldStreams by option("--cold-streams").int().default(defaults.coldStreams)
    private val restart by option("--restart-ms").long()
        .default(defaults.restartTime.inWholeMilliseconds)
    private val load by option("--load-ms").long().default(defaults.loadTime.inWholeMilliseconds)
    private val lag by option("--report-lag-ms").long()
        .default(defaults.reportLag.inWholeMilliseconds)
    private val cacheBlocks by option("--cache-blocks").int().default(defaults.cacheBlocks)
    private val cacheLag by option("--cache-event-lag-ms").long()
        .default(defaults.cacheEventLag.inWholeMilliseconds)
    private val cacheLoss by option("--cache-event-loss-every").int()
        .default(defaults.cacheEventLossEvery)
    private val ignoreFencing by option("--ignore-fencing").flag()

    override fun run() {
        val settings = EngineSettings(
            memoryTokens = memory,
            prefillTokensPerSecond = prefill,
            decodeInterval = decode.milliseconds,
            coldTokens = coldTokens,
            coldSlowdown = coldSlowdown,
            coldStreams = coldStreams,
            restartTime = restart.milliseconds,
            loadTime = load.milliseconds,
            reportLag = lag.milliseconds,
            cacheBlocks = cacheBlocks,
            cacheEventLag = cacheLag.milliseconds,
            cacheEventLossEvery = cacheLoss,
            enforceFencing = !ignoreFencing
        )
        serve {
            EngineStandIn(settings, port) { Runtime.getRuntime().halt(SIGKILL_EXIT_CODE) }.address
        }
    }

    private companion object {
        const val SIGKILL_EXIT_CODE = 137
    }
}

private class PlainServiceCommand : CliktCommand(name = "plain-service") {
    private val port by option("--port").int().default(0)
    private val callTime by option("--call-ms").long().default(5)

    override fun run() = serve { PlainServiceStandIn(port, callTime.milliseconds).address }
}

private class ConfigurationCommand : CliktCommand(name = "configuration") {
    private val port by option("--port").int().default(0)
    private val calls by option("--calls-per-second").int()
        .default(ConfigurationStandIn.DEFAULT_CALLS_PER_SECOND)
    private val documents by option("--document", help = "YAML file; its name is the document's")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun run() {
        val contents = documents.associate { it.nameWithoutExtension to it.readBytes() }
        serve { ConfigurationStandIn(contents, port, calls).address }
    }
}

private class HostListCommand : CliktCommand(name = "host-list") {
    private val port by option("--port").int().default(0)
    private val lag by option("--lag-ms").long().default(0)
    private val hosts by option("--hosts", help = "file with a JSON array of hosts")
        .file(mustExist = true, canBeDir = false)

    override fun run() {
        val listed = hosts?.readText()?.let {
            HostListStandIn.parseHosts(it) ?: throw UsageError("--hosts: not a list of hosts")
        }
        serve { HostListStandIn(listed.orEmpty(), port, lag.milliseconds).address }
    }
}
