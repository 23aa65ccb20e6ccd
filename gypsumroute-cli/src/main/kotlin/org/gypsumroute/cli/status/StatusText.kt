/*
 * Formats a status page as tables for a terminal.
 */
package org.gypsumroute.cli.status

import org.gypsumroute.cli.textTable

/** Formats the page of one entry; [node] is the base URL that it was read from. */
internal fun describeStatus(node: String, page: StatusPage): String = buildList {
    val ready = if (page.ready) "ready" else "not ready"
    add(
        "${page.host} in ${page.dataCentre} at $node: $ready, ${page.drain}, " +
            "incarnation ${page.incarnation}"
    )
    addTable("documents", DOCUMENT_HEADING, page.documents) {
        listOf(
            it.service,
            it.version,
            if (it.withdrawn) "withdrawn" else "active",
            it.dataCentresOut.joinToString().ifEmpty { NO_VALUE },
            it.digest.take(DIGEST_PREFIX_LENGTH)
        )
    }
    addTable("endpoints", ENDPOINT_HEADING, page.endpoints, ::endpointCells)
    addTable(
        "requests by length class",
        listOf("class", "open", "queued"),
        (page.requests.keys + page.queue.keys).sorted()
    ) { listOf(it, "${page.requests[it] ?: 0}", "${page.queue[it] ?: 0}") }
    addTable(
        "slow readers",
        listOf("request", "organisation", "held bytes", "stalled s"),
        page.slowReaders
    ) {
        listOf(it.request, it.organisation, "${it.heldBytes}", "%.1f".format(it.stalledSeconds))
    }
    addTable("peers", listOf("host", "connected", "unheard s", "incarnation"), page.endpoints) {
        listOf(
            it.host,
            yesNo(it.connected),
            "%.1f".format(it.unheardSeconds),
            it.incarnation ?: NO_VALUE
        )
    }
}.joinToString("\n")

private fun <T> MutableList<String>.addTable(
    title: String,
    heading: List<String>,
    items: Collection<T>,
    cells: (T) -> List<String>
) {
    add("")
    if (items.isEmpty()) {
        add("$title: none")
    } else {
        add("$title:")
        textTable(heading, items.map(cells)).mapTo(this) { "  $it" }
    }
}

private fun endpointCells(endpoint: StatusEndpoint): List<String> = listOf(
    endpoint.host,
    endpoint.dataCentre ?: NO_VALUE,
    endpoint.pool ?: NO_VALUE,
    endpoint.warmShare?.let { "%.2f".format(it) } ?: NO_VALUE,
    endpoint.freeMemory?.let { "$it/${endpoint.memory}" } ?: NO_VALUE,
    endpoint.running?.toString() ?: NO_VALUE,
    endpoint.queued?.toString() ?: NO_VALUE,
    endpoint.expectedWaitSeconds?.let { "%.2f".format(it) } ?: NO_VALUE,
    endpoint.accepting?.let(::yesNo) ?: NO_VALUE,
    endpoint.leaving?.let(::yesNo) ?: NO_VALUE
)

private fun yesNo(value: Boolean): String = if (value) "yes" else "no"

private val DOCUMENT_HEADING =
    listOf("service", "version", "state", "data centres out", "digest")
private val ENDPOINT_HEADING = listOf(
    "host", "data centre", "pool", "warm", "free/all tokens", "running", "queued", "wait s",
    "accepting", "leaving"
)
private const val DIGEST_PREFIX_LENGTH = 12
private const val NO_VALUE = "-"
