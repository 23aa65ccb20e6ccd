package org.gypsumroute.cli.status

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import kotlinx.serialization.Serializable
import org.gypsumroute.cli.NodeClient
import org.gypsumroute.cli.NodePageReader
import org.gypsumroute.cli.NodeReports
import org.gypsumroute.cli.REPORT_EXIT_CODES
import org.gypsumroute.cli.VARIABLE_PREFIX
import org.gypsumroute.cli.failIfUnreachable
import org.gypsumroute.cli.nodesOption
import org.gypsumroute.cli.pageJson
import org.gypsumroute.cli.readNodes

/** `gypsumroute status`: prints the state of the fleet as each entry sees it. */
internal class StatusCommand(private val readPage: NodePageReader = NodeClient()::read) :
    CliktCommand(name = "status") {
    private val nodes by nodesOption()
    private val format by option("--format", help = "Form of the report")
        .choice("table", "json").default("table")

    init {
        context { autoEnvvarPrefix = "${VARIABLE_PREFIX}_STATUS" }
    }

    override fun help(context: Context) =
        "Prints documents, endpoints, requests, slow readers and peers as each entry sees them."

    override fun helpEpilog(context: Context) = REPORT_EXIT_CODES

    override fun run() {
        val reports = readNodes(nodes.flatten(), "/status", StatusPage.serializer(), readPage)
        echo(if (format == "json") statusJson(reports) else statusText(reports))
        failIfUnreachable(reports)
    }

    private fun statusText(reports: NodeReports<StatusPage>): String =
        reports.pages.map { (node, page) -> describeStatus(node, page) }.joinToString("\n\n")

    private fun statusJson(reports: NodeReports<StatusPage>): String =
        pageJson.encodeToString(StatusReport(reports.pages, reports.unreachable))
}

/** The pages and the causes of failure, each by the base URL of the node. */
@Serializable
internal data class StatusReport(
    val nodes: Map<String, StatusPage>,
    val unreachable: Map<String, String>
)
