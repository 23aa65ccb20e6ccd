/*
 * Guards against bearer keys, and the fleet's shared key, in log lines and on operators' pages.
 */
package org.gypsumroute.entry

import java.io.ByteArrayOutputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers
import java.nio.file.Path
import java.security.MessageDigest
import kotlin.io.path.readText
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.RegionId
import org.gypsumroute.core.Timings
import org.gypsumroute.process.NodeSettings
import org.gypsumroute.process.SharedKey
import org.gypsumroute.runtime.LogFormat
import org.gypsumroute.runtime.LogOutput
import org.gypsumroute.test.ConfigurationStandIn
import org.gypsumroute.test.HostListStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class BearerKeyTest {
    private val log = ByteArrayOutputStream()
    private val document = Path.of("../examples/demo/menu-writer.yaml").readText()
        .replace(Regex("keyDigests: .*"), "keyDigests: [${sha256(KEY)}]")
    private val configuration =
        ConfigurationStandIn(mapOf("menu-writer" to document.toByteArray()))
    private val hosts = HostListStandIn()
    private val entry = EntryProcess(settings()) {}
    private val client = HttpClient.newHttpClient()

    init {
        LogOutput.configure(LogFormat.JSON, HostId("entry-1"), log)
        entry.start()
    }

    @AfterEach
    fun stop() {
        entry.stop()
        hosts.close()
        configuration.close()
        LogOutput.configure(LogFormat.JSON, HostId("after-the-test"))
    }

    @Test
    fun `no log line and no operators' page contains a bearer key`() {
        awaitReady()
        val body = """{"model":"menu-writer","prompt":"Say hello","max_tokens":1}"""
        val statuses = listOf(
            complete(body, "Bearer $KEY"),
            complete(body, "Bearer $WRONG_KEY"),
            complete(body, "Basic $KEY"),
            complete(body, KEY),
            complete("{", "Bearer $KEY"),
            complete(body, "Bearer $KEY", timeout = "soon")
        )
        assertEquals(listOf(503, 401, 401, 401, 400, 400), statuses)
        val pages = listOf("status", "burn", "metrics", "health", "documents/menu-writer")
            .associateWith { read("/$it").body() }
        assertContains(pages.getValue("burn"), "thamel-kitchens")
        assertContains(pages.getValue("status"), "menu-writer")
        assertEquals(document, pages["documents/menu-writer"])
        assertEquals(404, read("/documents/none").statusCode())
        entry.stop()
        LogOutput.close()
        val lines = log.toString()
        assertContains(lines, "\"number\":4001")
        for ((name, text) in pages + ("log" to lines)) {
            for (key in listOf(KEY, WRONG_KEY, SHARED_KEY)) assertFalse(key in text, name)
        }
        assertFalse(sha256(KEY) in lines + pages["status"] + pages["burn"] + pages["metrics"])
    }

    private fun awaitReady() {
        repeat(200) {
            if (read("/ready").statusCode() == 200) return
            Thread.sleep(50) // There is no event to wait for: only the page shows readiness.
        }
        error("the entry did not become ready: $log")
    }

    private fun read(path: String) = client.send(
        HttpRequest.newBuilder(URI("http://127.0.0.1:${entry.operatorsPort}$path")).build(),
        BodyHandlers.ofString()
    )

    private fun complete(body: String, authorization: String, timeout: String = "1"): Int =
        client.send(
            HttpRequest.newBuilder(URI("http://127.0.0.1:${entry.callersPort}/v1/completions"))
                .header("Authorization", authorization)
                .header("X-Request-Timeout", timeout)
                .POST(BodyPublishers.ofString(body))
                .build(),
            BodyHandlers.ofString()
        ).statusCode()

    private fun settings() = EntrySettings(
        node = NodeSettings(
            host = HostId("entry-1"),
            region = RegionId("bagmati"),
            dataCentre = DataCentreId("thamel"),
            configurationUrl = "http://${configuration.address}",
            hostListUrl = "http://${hosts.address}",
            sharedKey = SharedKey(SHARED_KEY.toByteArray()),
            logFormat = LogFormat.JSON,
            drainLimit = 1.seconds,
            timings = Timings(startupWait = 100.milliseconds)
        ),
        callersAddress = "127.0.0.1",
        callersPort = 0,
        operatorsAddress = "127.0.0.1",
        operatorsPort = 0,
        largestBody = Bytes(100_000),
        bodyTime = 5.seconds,
        openRequests = 10,
        bufferedBytes = Bytes(1_000_000)
    )

    private fun sha256(text: String): String = MessageDigest.getInstance("SHA-256")
        .digest(text.toByteArray()).joinToString("") { "%02x".format(it) }

    private companion object {
        const val KEY = "bearer-key-of-thamel"
        const val WRONG_KEY = "bearer-key-of-nobody"
        const val SHARED_KEY = "shared-key-of-the-fleet"
    }
}
