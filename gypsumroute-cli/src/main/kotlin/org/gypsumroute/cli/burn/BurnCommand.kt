package org.gypsumroute.cli.burn

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import java.time.Instant
import java.time.temporal.ChronoUnit
import org.gypsumroute.cli.NodeClient
import org.gypsumroute.cli.NodePageReader
import org.gypsumroute.cli.REPORT_EXIT_CODES
import org.gypsumroute.cli.VARIABLE_PREFIX
import org.gypsumroute.cli.failIfUnreachable
import org.gypsumroute.cli.nodesOption
import org.gypsumroute.cli.pageJson
import org.gypsumroute.cli.readNodes

/** `gypsumroute burn`: reports how fast the error budgets are used, over all entries given. */
internal class BurnCommand(
    private val readPage: NodePageReader = NodeClient()::read,
    private val now: () -> Instant = Instant::now
) : CliktCommand(name = "burn") {
    private val nodes by nodesOption()
    private val format by option("--format", help = "Form of the report")
        .choice("text", "json", "html").default("text")

    init {
        context { autoEnvvarPrefix = "${VARIABLE_PREFIX}_BURN" }
    }

    override fun help(context: Context) =
        "Prints burn rates over 5 minutes, 1 hour and 6 hours, merged over the entries asked."

    override fun helpEpilog(context: Context) = REPORT_EXIT_CODES

    override fun run() {
        val reports = readNodes(nodes.flatten(), "/burn", BurnPage.serializer(), readPage)
        val report = BurnReport(
            entries = reports.pages.keys.toList(),
            unreachable = reports.unreachable,
            objectives = mergeBurn(reports.pages.values)
        )
        echo(
            when (format) {
                "json" -> pageJson.encodeToString(report)
                "html" -> burnHtml(report, now().truncatedTo(ChronoUnit.SECONDS).toString())
                else -> describeBurn(report)
            }
        )
        failIfUnreachable(reports)
    }
}
