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

/**
 * `gypsumroute load`: sends prompts of mixed lengths at a rate that does not depend on the
 * responses, and prints the measured times by prompt length.
 */
internal class LoadCommand(private val environment: (String) -> String? = System::getenv) :
    CliktCommand(name = "load") {
    private val entries by option(
        "--entry",
        envvar = "GYPSUMROUTE_LOAD_ENTRIES",
        help = "Base URL of an entry, such as http://127.0.0.1:8080; repeat for several"
    ).multiple(required = true)
    private val keyVariable by option(
        "--key-variable",
        help = "Name of the environment variable that holds the bearer key"
    ).default("GYPSUMROUTE_LOAD_KEY").validate { name ->
        if (environment(name) == null) fail("the variable $name must hold the bearer key")
    }
    private val profileName by option(
        "--profile",
        help = "Named mix of prompt lengths"
    ).choice(*LoadProfile.builtIn.keys.toTypedArray()).default("menukala")
    private val profileFile by option(
        "--profile-file",
        help = "JSON file with a mix of prompt lengths; wins over --profile"
    ).file(mustExist = true, canBeDir = false)
    private val service by option("--service", help = "Service to call; wins over the profile's")
    private val rate by option(
        "--rate",
        help = "Requests per second"
    ).double().restrictTo(min = MIN_REQUESTS_PER_SECOND).required()
    private val duration by option(
        "--duration",
        help = "Length of the run in seconds, at most 3600"
    ).int().restrictTo(1..MAX_RUN_SECONDS).default(DEFAULT_RUN_SECONDS)
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
        val profile = selectedProfile()
        val target = CallTarget(
            entries = entries.map { it.trimEnd('/') },
            service = service ?: profile.service,
            key = environment(keyVariable).orEmpty(),
            timeoutSeconds = timeout
        )
        val plan = planArrivals(profile, rate, duration.seconds, seed)
        val caller = CompletionCaller(target)
        val report = summarize(runLoad(plan, caller::call))
        caller.close()
        echo(if (format == "json") Json.encodeToString(report) else formatReport(report))
    }

    private fun selectedProfile(): LoadProfile {
        val file = profileFile ?: return LoadProfile.builtIn.getValue(profileName)
        return try {
            Json.decodeFromString<LoadProfile>(file.readText())
        } catch (failure: IllegalArgumentException) {
            throw UsageError("--profile-file $file: ${failure.message}")
        }
    }
}

internal fun formatReport(report: LoadReport): String = buildString {
    appendLine("requests: ${report.requests}; times in milliseconds (median / 95th / 99th)")
    appendLine(ROW_FORMAT.format("prompt tokens", "sent", "ok", "first token", "between", "total"))
    for (row in report.rows) {
        appendLine(
            ROW_FORMAT.format(
                row.label,
                row.sent,
                row.answered,
                formatTimes(row.firstToken),
                formatTimes(row.betweenTokens),
                formatTimes(row.total)
            )
        )
    }
    for ((error, count) in report.errors) appendLine("error $error: $count")
}

private fun formatTimes(times: Percentiles): String =
    "%.0f / %.0f / %.0f".format(times.median, times.p95, times.p99)

private const val ROW_FORMAT = "%-18s %6s %6s %24s %20s %26s"
private const val MIN_REQUESTS_PER_SECOND = 0.001
private const val MAX_RUN_SECONDS = 3_600
private const val DEFAULT_RUN_SECONDS = 10
private const val DEFAULT_TIMEOUT_SECONDS = 30
