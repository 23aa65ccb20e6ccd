/*
 * Guards against processes that start with invalid settings, report only one fault at a time, or
 * show the shared key.
 */
package org.gypsumroute.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.agent.AgentSettings
import org.gypsumroute.agent.BackEnd
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.engine.noRamp
import org.gypsumroute.core.requests.PlacementPolicies
import org.gypsumroute.entry.EntrySettings
import org.junit.jupiter.api.Test

class SettingsTest {
    private var entry: EntrySettings? = null
    private var agent: AgentSettings? = null

    @Test
    fun `an entry starts with the settings of its command line`() {
        val error = run("entry $NODE --callers-port 0 --lease-time 2.5")
        assertEquals(7, assertIs<ProgramResult>(error).statusCode)
        assertEquals("entry-1", entry?.node?.host?.value)
        assertEquals(2500.milliseconds, entry?.node?.timings?.leaseTime)
        assertEquals(KEY, entry?.node?.sharedKey?.bytes?.decodeToString())
    }

    @Test
    fun `all faults of an entry are reported at once with exit code 2`() {
        val error = run(
            "entry --host a/b --region r --configuration-url ftp://x --host-list-url http://h:1 " +
                "--callers-port 70000 --lease-time soon --missed-heartbeats 0 --log-format xml"
        )
        assertEquals(2, exitCodeOf(error))
        val text = formatted(error)
        val options = listOf(
            "--host",
            "--data-centre",
            "--configuration-url",
            "--callers-port",
            "--lease-time",
            "--missed-heartbeats",
            "--log-format"
        )
        for (option in options) assertContains(text, option)
        assertContains(text, "http://address:port")
        assertEquals(null, entry)
    }

    @Test
    fun `an agent needs exactly one of engine and plain service`() {
        val agent = "agent $NODE --pool p --listen-port 1"
        for (backEnd in listOf("", "--engine-url http://e:1 --plain-service-url http://p:1")) {
            val error = run("$agent $backEnd")
            assertEquals(2, exitCodeOf(error))
            assertContains(formatted(error), "--plain-service-url")
        }
        run("$agent --plain-service-url http://p:1/")
        assertEquals(BackEnd.PlainService("http://p:1"), this.agent?.backEnd)
    }

    @Test
    fun `a missing or short shared key is rejected and never shown`() {
        assertContains(formatted(run("entry $NODE", key = null)), "GYPSUMROUTE_SHARED_KEY")
        val text = formatted(run("entry $NODE", key = "short-secret"))
        assertContains(text, "--shared-key-file")
        assertFalse("short-secret" in text)
        assertFalse("$KEY" in "${entry?.node}")
    }

    @Test
    fun `policies are selected by name and an unknown name is rejected with the accepted ones`() {
        run("entry $NODE --placement least-outstanding")
        assertEquals(PlacementPolicies.leastOutstanding, entry?.policies?.placement)
        run("agent $NODE --pool p --listen-port 1 --engine-url http://e:1 --ramp none")
        assertEquals(defaultPolicies.copy(ramp = noRamp), agent?.policies)
        val error = run("agent $NODE --pool p --listen-port 1 --queue-order longest")
        assertEquals(2, exitCodeOf(error))
        assertContains(formatted(error), "one-queue")
    }

    private fun run(line: String, key: String? = KEY): CliktError {
        command = GypsumrouteCommand().subcommands(
            EntryCommand({ key }) { settings -> 7.also { entry = settings } },
            AgentCommand({ key }) { settings -> 7.also { agent = settings } }
        )
        return assertFailsWith<CliktError> { command.parse(line.split(' ').filter { it != "" }) }
    }

    private lateinit var command: CliktCommand

    private fun formatted(error: CliktError): String = command.getFormattedHelp(error).orEmpty()

    private companion object {
        const val KEY = "a-key-of-sixteen-bytes-or-more"
        const val NODE = "--host entry-1 --region r --data-centre d " +
            "--configuration-url http://c:1 --host-list-url http://h:1"
    }
}
