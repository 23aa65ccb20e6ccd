package org.gypsumroute.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Bytes
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.requests.PlacementPolicies
import org.gypsumroute.entry.EntrySettings
import org.gypsumroute.entry.runEntry

/**
 * `gypsumroute entry`: runs an entry, which serves callers. [environment] reads environment
 * variables, and [start] runs the entry and returns its exit code.
 */
internal class EntryCommand(
    environment: (String) -> String? = System::getenv,
    private val start: (EntrySettings) -> Int = ::runEntry
) : CliktCommand(name = "entry") {
    private val node by NodeOptions(environment)
    private val callersAddress by option(help = "Address of the callers' HTTP port")
        .default(LOOPBACK)
    private val callersPort by option(
        help = "Callers' HTTP port"
    ).port().default(DEFAULT_CALLERS_PORT)
    private val operatorsAddress by option(help = "Address of the operators' HTTP port")
        .default(LOOPBACK)
    private val operatorsPort by option(help = "Operators' HTTP port").port()
        .default(DEFAULT_OPERATORS_PORT)
    private val largestBody by option(help = "Largest request body, in bytes")
        .long().restrictTo(1024L..MAX_BODY_BYTES).default(DEFAULT_MAX_BODY_BYTES)
    private val bodyTime by option(help = "Longest upload without a timeout, in seconds")
        .seconds(60.seconds)
    private val openRequests by option(help = "Largest number of requests at a time")
        .int().restrictTo(1..MAX_OPEN_REQUESTS).default(DEFAULT_OPEN_REQUESTS)
    private val bufferedBytes by option(help = "Budget for bodies and answers held, in bytes")
        .long().restrictTo(1024L..MAX_BUFFER_BYTES).default(DEFAULT_BUFFER_BYTES)
    private val placement by option(
        help = "Order of endpoints for a request; least-outstanding exists for measurements"
    ).choice(
        "expected-wait" to PlacementPolicies.expectedWait,
        "least-outstanding" to PlacementPolicies.leastOutstanding
    ).default(PlacementPolicies.expectedWait, defaultForHelp = "expected-wait")
    private val timings by TimingOptions()

    init {
        context { autoEnvvarPrefix = VARIABLE_PREFIX }
    }

    override fun help(context: Context) = "Serves callers and routes their requests to agents."

    override fun helpEpilog(context: Context) = VARIABLES_HELP

    override fun run() = throw ProgramResult(start(settings()))

    private fun settings() = EntrySettings(
        node = node.settings(timings.timings()),
        callersAddress = callersAddress,
        callersPort = callersPort,
        operatorsAddress = operatorsAddress,
        operatorsPort = operatorsPort,
        largestBody = Bytes(largestBody),
        bodyTime = bodyTime,
        openRequests = openRequests,
        bufferedBytes = Bytes(bufferedBytes),
        policies = defaultPolicies.copy(placement = placement)
    )

    private companion object {
        const val DEFAULT_CALLERS_PORT = 8080
        const val DEFAULT_OPERATORS_PORT = 8081
        const val DEFAULT_MAX_BODY_BYTES = 16L * 1024 * 1024

        /** Agents assemble up to 128 MiB, with the answer so far of a continued request. */
        const val MAX_BODY_BYTES = 112L * 1024 * 1024
        const val DEFAULT_OPEN_REQUESTS = 4096
        const val MAX_OPEN_REQUESTS = 1_000_000
        const val DEFAULT_BUFFER_BYTES = 256L * 1024 * 1024
        const val MAX_BUFFER_BYTES = 1024L * 1024 * 1024 * 1024
    }
}

internal const val LOOPBACK = "127.0.0.1"
internal const val VARIABLE_PREFIX = "GYPSUMROUTE"
internal const val VARIABLES_HELP =
    "Each option may also be given by a variable: --host by GYPSUMROUTE_HOST, and so on. " +
        "Exit codes: 0 after a planned stop; 1 if a port is in use or the drain limit passed; " +
        "2 for faulty settings, which are reported all at once."
