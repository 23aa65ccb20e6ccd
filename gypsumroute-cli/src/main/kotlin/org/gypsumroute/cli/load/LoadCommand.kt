package org.gypsumroute.cli.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.validate
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import org.gypsumroute.cli.VARIABLE_PREFIX

/** `gypsumroute load`: sends an open-loop mix of prompts and prints the measures by length. */
internal class LoadCommand(private val environment: (String) -> String? = System::getenv) :
    CliktCommand(name = "load") {
    private val entries by option(
        "--entry",
        envvar = "GYPSUMROUTE_LOAD_ENTRIES",
        help = "Base URL of an entry, such as http://127.0.0.1:8080; repeat for several"
    ).multiple(required = true)
    private val key by option(
        "--key-variable",
        help = "Name of the environment variable that holds the bearer key"
    ).default("GYPSUMROUTE_LOAD_KEY").validate { name ->
        if (environment(name) == null) fail("the variable $name must hold the bearer key")
    }
    private val profileName by option(
        "--profile",
        help = "Named mix of prompt lengths"
    ).choice(*LoadProfile.named.keys.toTypedArray()).default("menukala")
    private val profileFile by option(
        "--profile-file",
        help = "JSON file with a mix of prompt lengths; wins over --profile"
    ).file(mustExist = true, canBeDir = false)
    private val service by option("--service", help = "Service to call; wins over the profile's")
    private val rate by option(
        "--rate",
        help = "Requests per second"
    ).double().restrictTo(min = LOWEST_RATE).required()
    private val duration by option(
        "--duration",
        help = "Length of the run in seconds, at most 3600"
    ).int().restrictTo(1..LONGEST_RUN_SECONDS).default(DEFAULT_RUN_SECONDS)
    private val timeout by option("--timeout", help = "Deadline of each request in seconds")
        .int().restrictTo(min = 1).default(DEFAULT_TIMEOUT_SECONDS)
    private val seed by option("--seed", help = "Seed of arrivals and lengths").long().default(1)
    private val format by option("--format", help = "Form of the report")
        .choice("text", "json").default("text")

    init {
        context { autoEnvvarPrefix = "${VARIABLE_PREFIX}_LOAD" }
    }

    override fun help(context: Context): String =
        "Sends prompts of mixed lengths at a fixed rate and prints the measures by prompt length."

    override fun run() {
        val profile = chosenProfile()
        val target = CallTarget(
            entries = entries.map { it.trimEnd('/') },
            service = service ?: profile.service,
            key = environment(key).orEmpty(),
            timeoutSeconds = timeout
        )
        val plan = planArrivals(profile, rate, duration.seconds, seed)
        val caller = CompletionCaller(target)
        val report = summarize(runLoad(plan, caller::call))
        caller.close()
        echo(if (format == "json") Json.encodeToString(report) else describe(report))
    }

    private fun chosenProfile(): LoadProfile {
        val file = profileFile ?: return LoadProfile.named.getValue(profileName)
        return try {
            Json.decodeFromString<LoadProfile>(file.readText())
        } catch (fault: IllegalArgumentException) {
            throw UsageError("--profile-file $file: ${fault.message}")
        }
    }
}

internal fun describe(report: LoadReport): String = buildString {
    appendLine("requests: ${report.requests}; times in milliseconds (median / 95th / 99th)")
    appendLine(COLUMNS.format("prompt tokens", "sent", "ok", "first token", "between", "total"))
    for (row in report.rows) {
        appendLine(
            COLUMNS.format(
                row.label,
                row.sent,
                row.answered,
                describe(row.firstToken),
                describe(row.betweenTokens),
                describe(row.total)
            )
        )
    }
    for ((error, count) in report.errors) appendLine("error $error: $count")
}

private fun describe(times: Percentiles): String =
    "%.0f / %.0f / %.0f".format(times.median, times.p95, times.p99)

private const val COLUMNS = "%-18s %6s %6s %24s %20s %26s"
private const val LOWEST_RATE = 0.001
private const val LONGEST_RUN_SECONDS = 3_600
private const val DEFAULT_RUN_SECONDS = 10
private const val DEFAULT_TIMEOUT_SECONDS = 30
