/*
 * Reads the sections of a service document in YAML. `docs/service-document.md` specifies them.
 */
package org.gypsumroute.clients

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionRule
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.DeadlineRule
import org.gypsumroute.api.DocumentVersion
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.GroupRule
import org.gypsumroute.api.LengthClass
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.LimitRule
import org.gypsumroute.api.ModelId
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RampRule
import org.gypsumroute.api.RetryRule
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Tokens

/** Reads a document; the faults found on the way are added to the diagnostics of [fields]. */
internal fun readDocument(fields: YamlFields): ServiceDocument = with(fields) {
    ServiceDocument(
        service = ServiceId(text("service")),
        version = DocumentVersion(long("version")),
        kind = choice("kind", KINDS),
        withdrawn = choice("state", STATES, default = false),
        pool = PoolId(text("pool")),
        model = optionalSection("model")?.readStrictly { readModel() },
        promptLimit = Tokens(long("promptLimit")),
        outputLimit = Tokens(long("outputLimit")),
        deadline = section("deadline", required = true).readStrictly { readDeadline() },
        lengthClasses = sections("lengthClasses") { readLengthClass() },
        organisations = sections("organisations") { readOrganisation() },
        dataCentresOut = texts("dataCentresOut").map { DataCentreId(it) }.toSet(),
        limits = section("limits", required = true).readStrictly { readLimits() },
        ramp = section("ramp", required = true).readStrictly { readRamp() },
        retry = section("retry").readStrictly { readRetry() },
        group = section("group").readStrictly { readGroup() },
        actions = section("actions").readStrictly { readActions() }
    ).also { reportUnknownFields() }
}

/** Reads a section and then reports the fields in it that [read] did not use. */
private fun <T> YamlFields.readStrictly(read: YamlFields.() -> T): T =
    read().also { reportUnknownFields() }

private fun YamlFields.readModel() =
    EngineModel(ModelId(text("name")), optionalText("adapter"), text("version"))

private fun YamlFields.readDeadline() =
    DeadlineRule(optionalDuration("default"), duration("longest"))

private fun YamlFields.readLengthClass() = LengthClass(
    name = LengthClassName(text("name")),
    upTo = Tokens(long("upTo")),
    reservedShare = number("reservedShare", default = 0.0),
    firstTokenObjective = duration("firstTokenObjective"),
    betweenTokensObjective = duration("betweenTokensObjective", default = 48.milliseconds),
    objectiveShare = number("objectiveShare", default = 0.95),
    longestWait = duration("longestWait")
)

private fun YamlFields.readOrganisation() = OrganisationRule(
    organisation = OrganisationId(text("organisation")),
    keyDigests = texts("keyDigests", required = true),
    weight = int("weight", default = 1),
    openRequests = int("openRequests")
)

private fun YamlFields.readLimits() = LimitRule(
    slotsPerEndpoint = int("slotsPerEndpoint"),
    queuePerEndpoint = int("queuePerEndpoint"),
    answerBytesPerOrganisation = Bytes(long("answerBytesPerOrganisation"))
)

private fun YamlFields.readRamp() = RampRule(
    initialShare = number("initialShare", default = 0.1),
    completionsPerStep = int("completionsPerStep", default = 4),
    growthFactor = number("growthFactor", default = 2.0),
    coldFactor = number("coldFactor", default = 3.0),
    warmFirstToken = duration("warmFirstToken", default = 50.milliseconds),
    warmPrefillTokensPerSecond = long("warmPrefillTokensPerSecond")
)

private fun YamlFields.readRetry() = RetryRule(
    attempts = int("attempts", default = 3),
    budgetShare = number("budgetShare", default = 0.1),
    firstBackoff = duration("firstBackoff", default = 50.milliseconds),
    longestBackoff = duration("longestBackoff", default = 1.seconds)
)

private fun YamlFields.readGroup() = GroupRule(
    largestMembers = int("largestMembers", default = 1),
    dataCentreShare = number("dataCentreShare", default = 0.5),
    grantWait = duration("grantWait", default = 2.seconds)
)

private fun YamlFields.readActions() = ActionRule(
    notRepeatable = texts("notRepeatable"),
    keptRecords = int("keptRecords", default = 10_000)
)

private val KINDS = mapOf("generation" to ServiceKind.GENERATION, "plain" to ServiceKind.PLAIN)

/** Values of the field `state`, with whether the document is withdrawn. */
private val STATES = mapOf("active" to false, "withdrawn" to true)
