/*
 * Flattens a service document into a list of fields for comparison.
 */
package org.gypsumroute.cli.check

import org.gypsumroute.api.LengthClass
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceKind

/**
 * Field paths and values in the order of `docs/service-document.md`. The path of a list item
 * contains the item's name instead of its index, so that an insertion changes only the fields of
 * the new item.
 */
internal fun documentFields(document: ServiceDocument): Map<String, String> = buildMap {
    put("service", document.service.value)
    put("version", "${document.version}")
    put("kind", if (document.kind == ServiceKind.PLAIN) "plain" else "generation")
    put("state", if (document.withdrawn) "withdrawn" else "active")
    put("pool", document.pool.value)
    document.model?.let { model ->
        put("model.name", model.model.value)
        put("model.version", model.version)
        model.adapter?.let { put("model.adapter", it) }
    }
    put("promptLimit", "${document.promptLimit.count}")
    put("outputLimit", "${document.outputLimit.count}")
    document.deadline.default?.let { put("deadline.default", "$it") }
    put("deadline.longest", "${document.deadline.longest}")
    document.lengthClasses.forEach { putLengthClass(it) }
    document.organisations.forEach { putOrganisation(it) }
    put("dataCentresOut", document.dataCentresOut.map { it.value }.sorted().joinToString())
    putLimitAndRampFields(document)
    putRetryGroupAndActionFields(document)
}

private fun MutableMap<String, String>.putLengthClass(lengthClass: LengthClass) {
    val path = "lengthClasses[${lengthClass.name}]"
    put("$path.name", lengthClass.name.value)
    put("$path.upTo", "${lengthClass.upTo.count}")
    put("$path.reservedShare", "${lengthClass.reservedShare}")
    put("$path.firstTokenObjective", "${lengthClass.firstTokenObjective}")
    put("$path.betweenTokensObjective", "${lengthClass.betweenTokensObjective}")
    put("$path.objectiveShare", "${lengthClass.objectiveShare}")
    put("$path.longestWait", "${lengthClass.longestWait}")
}

private fun MutableMap<String, String>.putOrganisation(rule: OrganisationRule) {
    val path = "organisations[${rule.organisation}]"
    put("$path.organisation", rule.organisation.value)
    put("$path.keyDigests", rule.keyDigests.sorted().joinToString())
    put("$path.weight", "${rule.weight}")
    put("$path.openRequests", "${rule.openRequests}")
}

private fun MutableMap<String, String>.putLimitAndRampFields(document: ServiceDocument) {
    put("limits.slotsPerEndpoint", "${document.limits.slotsPerEndpoint}")
    put("limits.queuePerEndpoint", "${document.limits.queuePerEndpoint}")
    put("limits.answerBytesPerOrganisation", "${document.limits.answerBytesPerOrganisation.count}")
    put("ramp.initialShare", "${document.ramp.initialShare}")
    put("ramp.completionsPerStep", "${document.ramp.completionsPerStep}")
    put("ramp.growthFactor", "${document.ramp.growthFactor}")
    put("ramp.coldFactor", "${document.ramp.coldFactor}")
    put("ramp.warmFirstToken", "${document.ramp.warmFirstToken}")
    put("ramp.warmPrefillTokensPerSecond", "${document.ramp.warmPrefillTokensPerSecond}")
}

private fun MutableMap<String, String>.putRetryGroupAndActionFields(document: ServiceDocument) {
    put("retry.attempts", "${document.retry.attempts}")
    put("retry.budgetShare", "${document.retry.budgetShare}")
    put("retry.firstBackoff", "${document.retry.firstBackoff}")
    put("retry.longestBackoff", "${document.retry.longestBackoff}")
    put("group.largestMembers", "${document.group.largestMembers}")
    put("group.dataCentreShare", "${document.group.dataCentreShare}")
    put("group.grantWait", "${document.group.grantWait}")
    put("actions.notRepeatable", document.actions.notRepeatable.sorted().joinToString())
    put("actions.keptRecords", "${document.actions.keptRecords}")
}
