/*
 * A status page as tables for a terminal.
 */
package org.gypsumroute.cli.status

import org.gypsumroute.cli.textTable

/** The view of one entry, reached at [node]. */
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
            it.dataCentresOut.joinToString().ifEmpty { UNKNOWN },
            it.digest.take(SHOWN_DIGEST)
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
            it.incarnation ?: UNKNOWN
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
    endpoint.dataCentre ?: UNKNOWN,
    endpoint.pool ?: UNKNOWN,
    endpoint.warmShare?.let { "%.2f".format(it) } ?: UNKNOWN,
    endpoint.freeMemory?.let { "$it/${endpoint.memory}" } ?: UNKNOWN,
    endpoint.running?.toString() ?: UNKNOWN,
    endpoint.queued?.toString() ?: UNKNOWN,
    endpoint.expectedWaitSeconds?.let { "%.2f".format(it) } ?: UNKNOWN,
    endpoint.accepting?.let(::yesNo) ?: UNKNOWN,
    endpoint.leaving?.let(::yesNo) ?: UNKNOWN
)

private fun yesNo(value: Boolean): String = if (value) "yes" else "no"

private val DOCUMENT_HEADING =
    listOf("service", "version", "state", "data centres out", "digest")
private val ENDPOINT_HEADING = listOf(
    "host", "data centre", "pool", "warm", "free/all tokens", "running", "queued", "wait s",
    "accepting", "leaving"
)
private const val SHOWN_DIGEST = 12
private const val UNKNOWN = "-"
