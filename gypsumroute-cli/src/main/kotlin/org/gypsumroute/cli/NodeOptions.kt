package org.gypsumroute.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.transformAll
import com.github.ajalt.clikt.parameters.types.enum
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.minutes
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.RegionId
import org.gypsumroute.core.Timings
import org.gypsumroute.process.NodeSettings
import org.gypsumroute.process.SharedKey
import org.gypsumroute.runtime.LogFormat

/** Options of both entry and agent. [environment] reads the variable that holds the shared key. */
internal class NodeOptions(private val environment: (String) -> String?) :
    OptionGroup(name = "Node options") {
    private val host by option(help = "Name of this host in the host list").name().required()
    private val region by option(help = "Region of this host").name().required()
    private val dataCentre by option(help = "Data centre of this host").name().required()
    private val configurationUrl by option(help = "Configuration service, http://address:port")
        .url().required()
    private val hostListUrl by option(help = "Host list, http://address:port").url().required()
    private val sharedKeyFile by option(
        help = "File with the fleet's shared key, at least ${SharedKey.MIN_BYTES} bytes; " +
            "without it the key is read from the variable $KEY_VARIABLE"
    ).transformAll { paths ->
        val key = paths.lastOrNull()?.let { readKey(it) ?: fail("$it: file cannot be read") }
            ?: environment(KEY_VARIABLE)?.encodeToByteArray()
            ?: fail("missing; accepted are a file here or a key in the variable $KEY_VARIABLE")
        if (key.size < SharedKey.MIN_BYTES) {
            fail("key is too short; accepted are ${SharedKey.MIN_BYTES} bytes or more")
        }
        SharedKey(key)
    }
    private val logFormat by option(help = "Form of log lines on standard output")
        .enum<LogFormat> { it.name.lowercase() }.default(LogFormat.JSON, defaultForHelp = "json")
    private val drainLimit by option(help = "Longest planned stop, in seconds; then exit code 1")
        .seconds(10.minutes)

    fun settings(timings: Timings) = NodeSettings(
        host = HostId(host),
        region = RegionId(region),
        dataCentre = DataCentreId(dataCentre),
        configurationUrl = configurationUrl,
        hostListUrl = hostListUrl,
        sharedKey = sharedKeyFile,
        logFormat = logFormat,
        drainLimit = drainLimit,
        timings = timings
    )

    // Trims whitespace, because editors end a file with a line break that is not part of the key.
    private fun readKey(path: String): ByteArray? = try {
        Files.readString(Path.of(path), Charsets.ISO_8859_1).trim()
            .toByteArray(Charsets.ISO_8859_1)
    } catch (unreadable: IOException) {
        null
    }

    private companion object {
        const val KEY_VARIABLE = "GYPSUMROUTE_SHARED_KEY"
    }
}
