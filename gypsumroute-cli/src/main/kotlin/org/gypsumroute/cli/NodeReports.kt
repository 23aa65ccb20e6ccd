/*
 * Asks several nodes for the same page and keeps apart those that gave no usable answer.
 */
package org.gypsumroute.cli

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.ParameterHolder
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Pages by node, and the cause for each node without one; both in the order asked. */
internal class NodeReports<T>(val pages: Map<String, T>, val unreachable: Map<String, String>)

/** Reads [path] from each of [nodes]. */
internal fun <T> readNodes(
    nodes: List<String>,
    path: String,
    serializer: KSerializer<T>,
    read: ReadNode
): NodeReports<T> {
    val answers = nodes.distinct().associateWith { node ->
        read(node, path).flatMap { decodePage(it, serializer) }
    }
    return NodeReports(
        answers.mapNotNull { (node, answer) -> answer.getOrNull()?.let { node to it } }.toMap(),
        answers.mapNotNull { (node, answer) -> answer.leftOrNull()?.let { node to it } }.toMap()
    )
}

private fun <T> decodePage(page: NodePage, serializer: KSerializer<T>): Either<String, T> =
    if (page.status != STATUS_OK) {
        "it answered with status ${page.status}".left()
    } else {
        try {
            pageFormat.decodeFromString(serializer, page.bytes.decodeToString()).right()
        } catch (fault: SerializationException) {
            "its answer is not a page of gypsumroute: ${fault.message}".left()
        }
    }

/** The repeatable option with the base URLs of operators' ports. */
internal fun ParameterHolder.nodesOption() = option(
    "--node",
    envvar = "${VARIABLE_PREFIX}_NODE",
    help = "Operators' port of an entry, http://address:port; repeat for several, or separate " +
        "by commas"
).convert { text ->
    text.split(',').map { part ->
        baseUrl(part.trim()) ?: fail("$part: accepted is http://address:port")
    }
}.multiple(required = true)

/** Ends a report that lacks nodes with an exit code of its own. */
internal fun endReport(reports: NodeReports<*>) {
    if (reports.unreachable.isEmpty()) return
    val causes = reports.unreachable.map { (node, cause) -> "could not be reached: $node: $cause" }
    throw CliktError(causes.joinToString("\n"), statusCode = EXIT_UNREACHABLE)
}

internal const val REPORT_EXIT_CODES =
    "Exit codes: 0 all nodes answered; 2 usage; 3 a node could not be reached, which the report " +
        "and standard error say."
internal const val STATUS_OK = 200

/** The form of pages, which may gain fields in later versions. */
internal val pageFormat = Json {
    ignoreUnknownKeys = true
    prettyPrint = true
}
