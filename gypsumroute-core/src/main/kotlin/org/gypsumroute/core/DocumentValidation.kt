/*
 * The rules that a service document must keep; `docs/service-document.md` lists them.
 *
 * Every process accepts exactly the same documents, so the rules depend on nothing but the
 * document. All broken rules are reported, not only the first.
 */
package org.gypsumroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import org.gypsumroute.api.DeadlineRule
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.LengthClass
import org.gypsumroute.api.LimitRule
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.RampRule
import org.gypsumroute.api.RetryRule
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceKind

/** All rules that [document] breaks; empty if it is valid. */
fun documentRuleFaults(document: ServiceDocument): List<DocumentRuleFault> = RuleCheck().apply {
    name("service", document.service.value)
    name("pool", document.pool.value)
    range("version", document.version.value, 1..LARGEST_VERSION)
    range("promptLimit", document.promptLimit.count, 1..LARGEST_PROMPT)
    range("outputLimit", document.outputLimit.count, 1..LARGEST_OUTPUT)
    document.dataCentresOut.forEachIndexed { index, dataCentre ->
        name("dataCentresOut[$index]", dataCentre.value)
    }
    checkKind(document)
    document.model?.let { checkModel(it) }
    checkDeadline(document.deadline)
    checkLengthClasses(document)
    checkOrganisations(document.organisations)
    checkLimits(document.limits)
    checkRamp(document.ramp)
    checkRetry(document.retry)
    checkGroup(document)
    checkActions(document)
}.faults

private class RuleCheck {
    val faults = mutableListOf<DocumentRuleFault>()

    fun rule(holds: Boolean, field: String, problem: String, vararg uses: String) {
        if (!holds) faults += DocumentRuleFault(field, problem, uses.toList())
    }

    fun name(field: String, value: String) =
        rule(NAME.matches(value), field, "must be 1 to 63 of a-z, 0-9 and -, not - first")

    fun text(field: String, value: String) = rule(
        value.isNotBlank() && value.length <= LONGEST_TEXT,
        field,
        "must be 1 to $LONGEST_TEXT characters"
    )

    fun range(field: String, value: Long, range: LongRange) =
        rule(value in range, field, "must be ${range.first} to ${range.last}")

    fun range(field: String, value: Int, range: IntRange) =
        rule(value in range, field, "must be ${range.first} to ${range.last}")

    fun range(field: String, value: Duration, longest: Duration) = rule(
        value >= SHORTEST && value <= longest,
        field,
        "must be $SHORTEST to $longest"
    )

    /** A share above zero (or from zero, if [orZero]) and at most [most]. */
    fun share(field: String, value: Double, most: Double = 1.0, orZero: Boolean = false) {
        val low = if (orZero) value >= 0.0 else value > 0.0
        val from = if (orZero) "from 0" else "above 0"
        rule(low && value <= most, field, "must be $from to $most")
    }

    fun <T> unique(values: List<T>, field: (Int) -> String, what: String) {
        val seen = mutableSetOf<T>()
        values.forEachIndexed { index, value ->
            rule(seen.add(value), field(index), "$what is listed twice")
        }
    }
}

private fun RuleCheck.checkKind(document: ServiceDocument) {
    if (document.kind == ServiceKind.GENERATION) {
        rule(document.model != null, "model", "is required for kind generation", "kind")
        rule(
            document.actions.notRepeatable.isEmpty(),
            "actions.notRepeatable",
            "is only for kind plain",
            "kind"
        )
    } else {
        rule(document.model == null, "model", "is only for kind generation", "kind")
        rule(
            document.group.largestMembers == 1,
            "group.largestMembers",
            "must be 1 for kind plain",
            "kind"
        )
    }
}

private fun RuleCheck.checkModel(model: EngineModel) {
    text("model.name", model.model.value)
    text("model.version", model.version)
    model.adapter?.let { text("model.adapter", it) }
}

private fun RuleCheck.checkDeadline(deadline: DeadlineRule) {
    range("deadline.longest", deadline.longest, LONGEST_DEADLINE)
    deadline.default?.let {
        range("deadline.default", it, LONGEST_DEADLINE)
        rule(
            it <= deadline.longest,
            "deadline.default",
            "must be at most deadline.longest",
            "deadline.longest"
        )
    }
}

private fun RuleCheck.checkLengthClasses(document: ServiceDocument) {
    val classes = document.lengthClasses
    rule(classes.size in 1..MOST_CLASSES, LENGTH_CLASSES, "must list 1 to $MOST_CLASSES classes")
    classes.forEachIndexed { index, lengthClass ->
        checkLengthClass("$LENGTH_CLASSES[$index]", lengthClass, document.deadline)
    }
    unique(classes.map { it.name }, { "$LENGTH_CLASSES[$it].name" }, "class")
    classes.zipWithNext().forEachIndexed { index, (shorter, longer) ->
        val field = "$LENGTH_CLASSES[${index + 1}].upTo"
        val before = "$LENGTH_CLASSES[$index].upTo"
        rule(shorter.upTo < longer.upTo, field, "must be above the class before", before)
    }
    val last = classes.lastOrNull() ?: return
    rule(
        last.upTo >= document.promptLimit,
        "$LENGTH_CLASSES[${classes.lastIndex}].upTo",
        "the last class must reach promptLimit",
        "promptLimit"
    )
    rule(
        classes.sumOf { it.reservedShare } <= MOST_RESERVED + ROUNDING,
        LENGTH_CLASSES,
        "the reserved shares must sum to at most $MOST_RESERVED"
    )
}

private fun RuleCheck.checkLengthClass(field: String, rule: LengthClass, deadline: DeadlineRule) {
    name("$field.name", rule.name.value)
    range("$field.upTo", rule.upTo.count, 1..LARGEST_PROMPT)
    share("$field.reservedShare", rule.reservedShare, MOST_RESERVED, orZero = true)
    range("$field.firstTokenObjective", rule.firstTokenObjective, LONGEST_DEADLINE)
    range("$field.betweenTokensObjective", rule.betweenTokensObjective, LONGEST_DEADLINE)
    rule(
        rule.objectiveShare > 0.0 && rule.objectiveShare < 1.0,
        "$field.objectiveShare",
        "must be above 0 and below 1"
    )
    range("$field.longestWait", rule.longestWait, LONGEST_DEADLINE)
    rule(
        rule.longestWait <= deadline.longest,
        "$field.longestWait",
        "must be at most deadline.longest",
        "deadline.longest"
    )
}

private fun RuleCheck.checkOrganisations(organisations: List<OrganisationRule>) {
    rule(organisations.isNotEmpty(), "organisations", "must list at least one organisation")
    unique(
        organisations.map { it.organisation },
        { "organisations[$it].organisation" },
        "organisation"
    )
    val digests = mutableSetOf<String>()
    organisations.forEachIndexed { index, organisation ->
        val field = "organisations[$index]"
        name("$field.organisation", organisation.organisation.value)
        rule(organisation.keyDigests.isNotEmpty(), "$field.keyDigests", "must list a digest")
        organisation.keyDigests.forEachIndexed { number, digest ->
            val at = "$field.keyDigests[$number]"
            rule(DIGEST.matches(digest), at, "must be 64 lowercase hexadecimal characters")
            rule(digests.add(digest), at, "key is listed twice")
        }
        range("$field.weight", organisation.weight, 1..LARGEST_WEIGHT)
        range("$field.openRequests", organisation.openRequests, 1..MOST_REQUESTS)
    }
}

private fun RuleCheck.checkLimits(limits: LimitRule) {
    range("limits.slotsPerEndpoint", limits.slotsPerEndpoint, 1..MOST_SLOTS)
    range("limits.queuePerEndpoint", limits.queuePerEndpoint, 0..MOST_REQUESTS)
    range(
        "limits.answerBytesPerOrganisation",
        limits.answerBytesPerOrganisation.count,
        FEWEST_ANSWER_BYTES..MOST_ANSWER_BYTES
    )
}

private fun RuleCheck.checkRamp(ramp: RampRule) {
    share("ramp.initialShare", ramp.initialShare)
    range("ramp.completionsPerStep", ramp.completionsPerStep, 1..MOST_COMPLETIONS)
    factor("ramp.growthFactor", ramp.growthFactor)
    factor("ramp.coldFactor", ramp.coldFactor)
    rule(
        ramp.warmFirstToken in Duration.ZERO..1.minutes,
        "ramp.warmFirstToken",
        "must be 0s to 1m"
    )
    range(
        "ramp.warmPrefillTokensPerSecond",
        ramp.warmPrefillTokensPerSecond,
        1..FASTEST_PREFILL
    )
}

private fun RuleCheck.factor(field: String, value: Double) =
    rule(value > 1.0 && value <= LARGEST_FACTOR, field, "must be above 1 to $LARGEST_FACTOR")

private fun RuleCheck.checkRetry(retry: RetryRule) {
    range("retry.attempts", retry.attempts, 0..MOST_ATTEMPTS)
    share("retry.budgetShare", retry.budgetShare, orZero = true)
    range("retry.firstBackoff", retry.firstBackoff, LONGEST_PAUSE)
    range("retry.longestBackoff", retry.longestBackoff, LONGEST_PAUSE)
    rule(
        retry.firstBackoff <= retry.longestBackoff,
        "retry.firstBackoff",
        "must be at most retry.longestBackoff",
        "retry.longestBackoff"
    )
}

private fun RuleCheck.checkGroup(document: ServiceDocument) {
    val group = document.group
    range("group.largestMembers", group.largestMembers, 1..MOST_MEMBERS)
    share("group.dataCentreShare", group.dataCentreShare)
    range("group.grantWait", group.grantWait, LONGEST_PAUSE)
}

private fun RuleCheck.checkActions(document: ServiceDocument) {
    val paths = document.actions.notRepeatable
    paths.forEachIndexed { index, path ->
        rule(
            PATH.matches(path),
            "actions.notRepeatable[$index]",
            "must be a path that starts with / and has no spaces, ? or #"
        )
    }
    unique(paths, { "actions.notRepeatable[$it]" }, "path")
    range("actions.keptRecords", document.actions.keptRecords, 1..MOST_RECORDS)
}

private val NAME = Regex("[a-z0-9][a-z0-9-]{0,62}")
private val DIGEST = Regex("[0-9a-f]{64}")
private val PATH = Regex("/[^\\s?#]{0,255}")
private val SHORTEST = 1.milliseconds
private val LONGEST_DEADLINE = 1.hours
private val LONGEST_PAUSE = 1.minutes
private const val LENGTH_CLASSES = "lengthClasses"
private const val LONGEST_TEXT = 128
private const val LARGEST_VERSION = 1_000_000_000_000_000L

/** Ten times the longest prompts of today. */
private const val LARGEST_PROMPT = 10_000_000L
private const val LARGEST_OUTPUT = 1_000_000L
private const val MOST_CLASSES = 16

/** A tenth of each endpoint stays open to every class, so that the longest can start at all. */
private const val MOST_RESERVED = 0.9
private const val ROUNDING = 1e-9
private const val LARGEST_WEIGHT = 1000
private const val MOST_REQUESTS = 100_000
private const val MOST_SLOTS = 10_000
private const val FEWEST_ANSWER_BYTES = 4096L
private const val MOST_ANSWER_BYTES = 1L shl 32
private const val MOST_COMPLETIONS = 1000
private const val FASTEST_PREFILL = 100_000_000L
private const val LARGEST_FACTOR = 100.0
private const val MOST_ATTEMPTS = 10
private const val MOST_MEMBERS = 64
private const val MOST_RECORDS = 1_000_000
