/*
 * Reads the same page from several nodes and separates out the nodes without a usable response.
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

/** The page of each node, and the cause for each node without a page, in the order of the nodes. */
internal class NodeReports<T>(val pages: Map<String, T>, val unreachable: Map<String, String>)

/** Reads the page at [path] from each distinct base URL in [nodes]. */
internal fun <T> readNodes(
    nodes: List<String>,
    path: String,
    serializer: KSerializer<T>,
    readPage: NodePageReader
): NodeReports<T> {
    val results = nodes.distinct().associateWith { node ->
        readPage(node, path).flatMap { decodePage(it, serializer) }
    }
    return NodeReports(
        results.mapNotNull { (node, result) -> result.getOrNull()?.let { node to it } }.toMap(),
        results.mapNotNull { (node, result) -> result.leftOrNull()?.let { node to it } }.toMap()
    )
}

private fun <T> decodePage(page: NodePage, serializer: KSerializer<T>): Either<String, T> =
    if (page.status != STATUS_OK) {
        "it answered with status ${page.status}".left()
    } else {
        try {
            pageJson.decodeFromString(serializer, page.bytes.decodeToString()).right()
        } catch (failure: SerializationException) {
            "its answer is not a page of gypsumroute: ${failure.message}".left()
        }
    }

/** The repeatable option `--node` with base URLs of operators' ports, also separated by commas. */
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

/** Ends the command with [EXIT_UNREACHABLE] if the report lacks at least one node. */
internal fun failIfUnreachable(reports: NodeReports<*>) {
    if (reports.unreachable.isEmpty()) return
    val causes = reports.unreachable.map { (node, cause) -> "could not be reached: $node: $cause" }
    throw CliktError(causes.joinToString("\n"), statusCode = EXIT_UNREACHABLE)
}

internal const val REPORT_EXIT_CODES =
    "Exit codes: 0 all nodes answered; 2 usage; 3 a node could not be reached, which the report " +
        "and standard error say."
internal const val STATUS_OK = 200

/** JSON of pages. Unknown fields are ignored, because later versions may add fields. */
internal val pageJson = Json {
    ignoreUnknownKeys = true
    prettyPrint = true
}
