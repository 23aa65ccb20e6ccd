/*
 * Validation rules for service documents; `docs/service-document.md` lists them.
 *
 * The rules depend on nothing but the document, so that every process accepts exactly the same
 * documents. All broken rules are reported, not only the first.
 */
package org.gypsumroute.core.documents

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
import org.gypsumroute.core.admission.initialShare
import org.gypsumroute.core.map
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.requests.retry

/** All rules that [document] breaks; empty if it is valid. */
fun documentRuleFaults(document: ServiceDocument): List<DocumentRuleFault> = RuleCheck().apply {
    name("service", document.service.value)
    name("pool", document.pool.value)
    range("version", document.version.value, 1..MAX_VERSION)
    range("promptLimit", document.promptLimit.count, 1..MAX_PROMPT_TOKENS)
    range("outputLimit", document.outputLimit.count, 1..MAX_OUTPUT_TOKENS)
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

    fun rule(holds: Boolean, field: String, problem: String, vararg relatedFields: String) {
        if (!holds) faults += DocumentRuleFault(field, problem, relatedFields.toList())
    }

    fun name(field: String, value: String) =
        rule(NAME_PATTERN.matches(value), field, "must be 1 to 63 of a-z, 0-9 and -, not - first")

    fun text(field: String, value: String) = rule(
        value.isNotBlank() && value.length <= MAX_TEXT_LENGTH,
        field,
        "must be 1 to $MAX_TEXT_LENGTH characters"
    )

    fun range(field: String, value: Long, range: LongRange) =
        rule(value in range, field, "must be ${range.first} to ${range.last}")

    fun range(field: String, value: Int, range: IntRange) =
        rule(value in range, field, "must be ${range.first} to ${range.last}")

    fun range(field: String, value: Duration, max: Duration) = rule(
        value >= MIN_DURATION && value <= max,
        field,
        "must be $MIN_DURATION to $max"
    )

    /** Requires a share above zero, or from zero if [orZero], that is at most [max]. */
    fun share(field: String, value: Double, max: Double = 1.0, orZero: Boolean = false) {
        val aboveMin = if (orZero) value >= 0.0 else value > 0.0
        val from = if (orZero) "from 0" else "above 0"
        rule(aboveMin && value <= max, field, "must be $from to $max")
    }

    fun <T> unique(values: List<T>, field: (Int) -> String, noun: String) {
        val seen = mutableSetOf<T>()
        values.forEachIndexed { index, value ->
            rule(seen.add(value), field(index), "$noun is listed twice")
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
    range("deadline.longest", deadline.longest, MAX_DEADLINE)
    deadline.default?.let {
        range("deadline.default", it, MAX_DEADLINE)
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
    rule(
        classes.size in 1..MAX_LENGTH_CLASSES,
        LENGTH_CLASSES,
        "must list 1 to $MAX_LENGTH_CLASSES classes"
    )
    classes.forEachIndexed { index, lengthClass ->
        checkLengthClass("$LENGTH_CLASSES[$index]", lengthClass, document.deadline)
    }
    unique(classes.map { it.name }, { "$LENGTH_CLASSES[$it].name" }, "class")
    classes.zipWithNext().forEachIndexed { index, (shorter, longer) ->
        val field = "$LENGTH_CLASSES[${index + 1}].upTo"
        val previousField = "$LENGTH_CLASSES[$index].upTo"
        rule(shorter.upTo < longer.upTo, field, "must be above the class before", previousField)
    }
    val last = classes.lastOrNull() ?: return
    rule(
        last.upTo >= document.promptLimit,
        "$LENGTH_CLASSES[${classes.lastIndex}].upTo",
        "the last class must reach promptLimit",
        "promptLimit"
    )
    rule(
        classes.sumOf { it.reservedShare } <= MAX_RESERVED_SHARE + SHARE_SUM_TOLERANCE,
        LENGTH_CLASSES,
        "the reserved shares must sum to at most $MAX_RESERVED_SHARE"
    )
}

private fun RuleCheck.checkLengthClass(field: String, rule: LengthClass, deadline: DeadlineRule) {
    name("$field.name", rule.name.value)
    range("$field.upTo", rule.upTo.count, 1..MAX_PROMPT_TOKENS)
    share("$field.reservedShare", rule.reservedShare, MAX_RESERVED_SHARE, orZero = true)
    range("$field.firstTokenObjective", rule.firstTokenObjective, MAX_DEADLINE)
    range("$field.betweenTokensObjective", rule.betweenTokensObjective, MAX_DEADLINE)
    rule(
        rule.objectiveShare > 0.0 && rule.objectiveShare < 1.0,
        "$field.objectiveShare",
        "must be above 0 and below 1"
    )
    range("$field.longestWait", rule.longestWait, MAX_DEADLINE)
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
            val digestField = "$field.keyDigests[$number]"
            rule(
                KEY_DIGEST_PATTERN.matches(digest),
                digestField,
                "must be 64 lowercase hexadecimal characters"
            )
            rule(digests.add(digest), digestField, "key is listed twice")
        }
        range("$field.weight", organisation.weight, 1..MAX_ORGANISATION_WEIGHT)
        range("$field.openRequests", organisation.openRequests, 1..MAX_REQUESTS)
    }
}

private fun RuleCheck.checkLimits(limits: LimitRule) {
    range("limits.slotsPerEndpoint", limits.slotsPerEndpoint, 1..MAX_SLOTS)
    range("limits.queuePerEndpoint", limits.queuePerEndpoint, 0..MAX_REQUESTS)
    range(
        "limits.answerBytesPerOrganisation",
        limits.answerBytesPerOrganisation.count,
        MIN_ANSWER_BYTES..MAX_ANSWER_BYTES
    )
}

private fun RuleCheck.checkRamp(ramp: RampRule) {
    share("ramp.initialShare", ramp.initialShare)
    range("ramp.completionsPerStep", ramp.completionsPerStep, 1..MAX_COMPLETIONS_PER_STEP)
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
        1..MAX_PREFILL_TOKENS_PER_SECOND
    )
}

private fun RuleCheck.factor(field: String, value: Double) =
    rule(value > 1.0 && value <= MAX_RAMP_FACTOR, field, "must be above 1 to $MAX_RAMP_FACTOR")

private fun RuleCheck.checkRetry(retry: RetryRule) {
    range("retry.attempts", retry.attempts, 0..MAX_RETRY_ATTEMPTS)
    share("retry.budgetShare", retry.budgetShare, orZero = true)
    range("retry.firstBackoff", retry.firstBackoff, MAX_BACKOFF_OR_GRANT_WAIT)
    range("retry.longestBackoff", retry.longestBackoff, MAX_BACKOFF_OR_GRANT_WAIT)
    rule(
        retry.firstBackoff <= retry.longestBackoff,
        "retry.firstBackoff",
        "must be at most retry.longestBackoff",
        "retry.longestBackoff"
    )
}

private fun RuleCheck.checkGroup(document: ServiceDocument) {
    val group = document.group
    range("group.largestMembers", group.largestMembers, 1..MAX_GROUP_MEMBERS)
    share("group.dataCentreShare", group.dataCentreShare)
    range("group.grantWait", group.grantWait, MAX_BACKOFF_OR_GRANT_WAIT)
}

private fun RuleCheck.checkActions(document: ServiceDocument) {
    val paths = document.actions.notRepeatable
    paths.forEachIndexed { index, path ->
        rule(
            PATH_PATTERN.matches(path),
            "actions.notRepeatable[$index]",
            "must be a path that starts with / and has no spaces, ? or #"
        )
    }
    unique(paths, { "actions.notRepeatable[$it]" }, "path")
    range("actions.keptRecords", document.actions.keptRecords, 1..MAX_ACTION_RECORDS)
}

private val NAME_PATTERN = Regex("[a-z0-9][a-z0-9-]{0,62}")
private val KEY_DIGEST_PATTERN = Regex("[0-9a-f]{64}")
private val PATH_PATTERN = Regex("/[^\\s?#]{0,255}")
private val MIN_DURATION = 1.milliseconds
private val MAX_DEADLINE = 1.hours
private val MAX_BACKOFF_OR_GRANT_WAIT = 1.minutes
private const val LENGTH_CLASSES = "lengthClasses"
private const val MAX_TEXT_LENGTH = 128
private const val MAX_VERSION = 1_000_000_000_000_000L

/** Ten times the length of the longest prompts in use. */
private const val MAX_PROMPT_TOKENS = 10_000_000L
private const val MAX_OUTPUT_TOKENS = 1_000_000L
private const val MAX_LENGTH_CLASSES = 16

/** A tenth of each endpoint stays open to every class, so that the longest class can run at all. */
private const val MAX_RESERVED_SHARE = 0.9

/** Allowed floating-point error in the sum of the reserved shares. */
private const val SHARE_SUM_TOLERANCE = 1e-9
private const val MAX_ORGANISATION_WEIGHT = 1000
private const val MAX_REQUESTS = 100_000
private const val MAX_SLOTS = 10_000
private const val MIN_ANSWER_BYTES = 4096L
private const val MAX_ANSWER_BYTES = 1L shl 32
private const val MAX_COMPLETIONS_PER_STEP = 1000
private const val MAX_PREFILL_TOKENS_PER_SECOND = 100_000_000L
private const val MAX_RAMP_FACTOR = 100.0
private const val MAX_RETRY_ATTEMPTS = 10
private const val MAX_GROUP_MEMBERS = 64
private const val MAX_ACTION_RECORDS = 1_000_000
