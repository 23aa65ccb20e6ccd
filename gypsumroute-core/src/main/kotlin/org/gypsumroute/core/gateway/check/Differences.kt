/*
 * Differences between two versions of a routing table.
 */
package org.gypsumroute.core.gateway.check

import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.EngineProfile
import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.Route
import org.gypsumroute.api.RoutingTable
import org.gypsumroute.api.ServiceRule

/** What changes when [after] replaces [before]. Of keys, only the numbers are told. */
internal fun differences(before: RoutingTable, after: RoutingTable): List<Finding> = compare(
    "route",
    before.routes.associateBy { "${it.name}" },
    after.routes.associateBy { "${it.name}" },
    ::changesOf
) + compare(
    "service",
    before.services.mapKeys { "${it.key}" },
    after.services.mapKeys { "${it.key}" },
    ::changesOf
) + keyRequirement(before, after) + compare(
    "organisation",
    before.organisations.orEmpty().associateBy { "${it.organisation}" },
    after.organisations.orEmpty().associateBy { "${it.organisation}" },
    ::changesOf
) + changed("limits", changesOf(before.limits, after.limits))

private fun <T> compare(
    kind: String,
    before: Map<String, T>,
    after: Map<String, T>,
    changes: (T, T) -> List<String>
): List<Finding> = (after.keys - before.keys).map { difference("$kind $it", "added") } +
    (before.keys - after.keys).map { difference("$kind $it", "removed") } +
    before.flatMap { (name, old) ->
        after[name]?.let { changed("$kind $name", changes(old, it)) }.orEmpty()
    }

private fun changed(path: String, changes: List<String>): List<Finding> =
    if (changes.isEmpty()) emptyList() else listOf(difference(path, changes.joinToString("; ")))

private fun keyRequirement(before: RoutingTable, after: RoutingTable): List<Finding> = when {
    before.organisations == null && after.organisations != null ->
        listOf(difference("organisations", "callers need a key"))

    before.organisations != null && after.organisations == null ->
        listOf(difference("organisations", "callers no longer need a key"))

    else -> emptyList()
}

private fun changesOf(before: Route, after: Route): List<String> = listOfNotNull(
    change("host", before, after) { it.hostName },
    change("prefix", before, after) { it.prefix },
    change("repetition", before, after) { it.repetition.name.lowercase() },
    change("streaming", before, after) { it.streaming },
    change("timeout", before, after) { it.timeout },
    change("objective", before, after) { it.objective },
    change("pause", before, after) { it.gapObjective },
    change("priority", before, after) { it.priority },
    change("services", before, after) { route ->
        route.trafficSplit.joinToString(" ") { "${it.service}=${it.weight}" }
    },
    change("attempts", before, after) { it.maxAttempts },
    change("public", before, after) { it.public }
)

private fun changesOf(before: ServiceRule, after: ServiceRule): List<String> = listOfNotNull(
    change("cold requests per second", before, after) { it.coldRequestsPerSecond },
    change("engine", before, after) { it.engine != null }
) + engineChanges(before.engine, after.engine)

private fun engineChanges(before: EngineProfile?, after: EngineProfile?): List<String> =
    if (before == null || after == null) {
        emptyList()
    } else {
        listOfNotNull(
            change("slots", before, after) { it.slots },
            change("memory", before, after) { it.memory.count },
            change("step time", before, after) { it.stepTime },
            change("step time per sequence", before, after) { it.stepTimePerSequence },
            change("step time per 1,000 context tokens", before, after) {
                it.stepTimePerThousandContextTokens
            },
            change("prefill time per token", before, after) { it.prefillTimePerToken },
            change("prefill time per million pairs", before, after) {
                it.prefillTimePerMillionPairs
            },
            change("prefill chunk", before, after) { it.prefillChunkTokens },
            change("steps per pass", before, after) { it.stepsPerPass },
            change("typical output", before, after) { it.typicalOutput.count }
        )
    }

private fun changesOf(before: OrganisationKeys, after: OrganisationKeys): List<String> {
    val added = (after.keyDigests - before.keyDigests).size
    val removed = (before.keyDigests - after.keyDigests).size
    return listOfNotNull(
        "keys added: $added".takeIf { added > 0 },
        "keys removed: $removed".takeIf { removed > 0 },
        change("priority", before, after) { it.priority }
    )
}

private fun changesOf(before: CallerLimits, after: CallerLimits): List<String> = listOfNotNull(
    change("header bytes", before, after) { it.maxHeaderBytes },
    change("body bytes", before, after) { it.maxBodyBytes },
    change("header timeout", before, after) { it.headerTimeout },
    change("idle timeout", before, after) { it.idleTimeout }
)

private fun <T> change(name: String, before: T, after: T, value: (T) -> Any?): String? {
    val old = value(before)
    val new = value(after)
    return if (old == new) null else "$name ${old ?: "none"} -> ${new ?: "none"}"
}

private fun difference(path: String, detail: String) = Finding(FindingKind.DIFFERENCE, path, detail)
