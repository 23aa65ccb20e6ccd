/*
 * Initial states and documents that several tests share.
 */
package org.gypsumroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionRule
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.DeadlineRule
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.DocumentDigest
import org.gypsumroute.api.DocumentVersion
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.EngineModel
import org.gypsumroute.api.GroupRule
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.LengthClass
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.LimitRule
import org.gypsumroute.api.ModelId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RampRule
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.RetryRule
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.documents.DocumentsState
import org.gypsumroute.core.requests.candidates
import org.gypsumroute.core.requests.retry

internal fun testNode(host: String = "entry-1", role: NodeRole = NodeRole.ENTRY) = NodeIdentity(
    host = HostId(host),
    incarnation = IncarnationId("$host#1"),
    role = role,
    region = RegionId("bagmati"),
    dataCentre = DataCentreId("thamel"),
    pool = if (role == NodeRole.AGENT) PoolId("menu") else null
)

internal fun testCommon(node: NodeIdentity = testNode()) = CommonState(
    node = node,
    timings = Timings(),
    policies = testPolicies,
    documents = DocumentsState(firstReadEnded = true)
)

internal val testPolicies = Policies(
    placement = { context -> context.candidates },
    queueOrder = { context -> context.waiting.indices.firstOrNull() },
    ramp = { context -> context.share },
    retry = { null },
    prefillEstimate = { tokens, rule -> (tokens.count / rule.warmPrefillTokensPerSecond).seconds }
)

/** A valid document of a generation service; [contentVariant] varies the digest. */
internal fun testDocument(
    version: Long = 1,
    service: String = "menu-writer",
    withdrawn: Boolean = false,
    contentVariant: Int = 0,
    change: (ServiceDocument) -> ServiceDocument = { it }
): EncodedDocument {
    val document = change(baseDocument(service, version, withdrawn))
    val text = "$service/$version/$withdrawn/$contentVariant"
    return EncodedDocument(document, DocumentDigest(text), DocumentContent(text.toByteArray()))
}

private fun baseDocument(service: String, version: Long, withdrawn: Boolean) = ServiceDocument(
    service = ServiceId(service),
    version = DocumentVersion(version),
    kind = ServiceKind.GENERATION,
    withdrawn = withdrawn,
    pool = PoolId("menu"),
    model = EngineModel(ModelId("menu-model"), null, "1"),
    promptLimit = Tokens(1_000_000),
    outputLimit = Tokens(4_096),
    deadline = DeadlineRule(default = 30.seconds, longest = 10.minutes),
    lengthClasses = listOf(
        lengthClass("short", 8_000, 0.3, 980.milliseconds),
        lengthClass("medium", 100_000, 0.2, 10.seconds),
        lengthClass("long", 1_000_000, 0.0, 120.seconds)
    ),
    organisations = listOf(
        OrganisationRule(OrganisationId("everest-cafe"), listOf("digest-1"), 1, 50),
        OrganisationRule(OrganisationId("yak-hotel"), listOf("digest-2"), 2, 50)
    ),
    dataCentresOut = emptySet(),
    limits = LimitRule(8, 32, Bytes(8L * 1024 * 1024)),
    ramp = RampRule(0.1, 2, 2.0, 3.0, Duration.ZERO, 100_000),
    retry = RetryRule(3, 0.2, 50.milliseconds, 1.seconds),
    group = GroupRule(4, 0.5, 2.seconds),
    actions = ActionRule(emptyList(), 10_000)
)

private fun lengthClass(name: String, upTo: Long, reservedShare: Double, firstToken: Duration) =
    LengthClass(
        name = LengthClassName(name),
        upTo = Tokens(upTo),
        reservedShare = reservedShare,
        firstTokenObjective = firstToken,
        betweenTokensObjective = 48.milliseconds,
        objectiveShare = 0.95,
        longestWait = firstToken * 2
    )
