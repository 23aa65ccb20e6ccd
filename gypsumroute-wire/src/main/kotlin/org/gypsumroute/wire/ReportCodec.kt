package org.gypsumroute.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.EngineUse
import org.gypsumroute.api.GapTolerance
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.ReportedClearance
import org.gypsumroute.api.ReportedLeaving
import org.gypsumroute.api.ReportedLoss
import org.gypsumroute.api.ReportedPace
import org.gypsumroute.api.ReportedSuspicion
import org.gypsumroute.api.Revision
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceUse
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TableVersion
import org.gypsumroute.api.UnixTime

/** Encodes a report as the payload of one datagram. */
@OptIn(ExperimentalSerializationApi::class)
fun encodeReport(report: GatewayReport): ByteArray =
    byteArrayOf(REPORT_VERSION) + cbor.encodeToByteArray(recordOf(report))

/** Decodes a datagram's payload. Never throws, since datagrams may come from any sender. */
@OptIn(ExperimentalSerializationApi::class)
fun decodeReport(datagram: ByteArray): Either<ProtocolError, GatewayReport> = when {
    datagram.isEmpty() -> ProtocolError("empty datagram").left()

    datagram[0] != REPORT_VERSION -> ProtocolError("unknown version ${datagram[0]}").left()

    else -> Either.catch {
        reportOf(cbor.decodeFromByteArray(datagram.copyOfRange(1, datagram.size)))
    }.mapLeft { ProtocolError("undecodable report: ${it::class.simpleName}") }
}

private fun recordOf(report: GatewayReport) = ReportRecord(
    host = report.host.value,
    incarnation = report.incarnation.value,
    sequence = report.sequence,
    revision = report.position.revision.value,
    storeReachable = report.storeReachable,
    loads = report.loads.map { (endpoint, load) -> recordOf(endpoint, load) },
    members = report.members.map { it.toString() },
    ready = report.ready,
    suspicions = report.crashes.suspicions.map(::recordOf),
    clearances = report.crashes.clearances.map(::recordOf),
    age = ageOf(report.age),
    leaving = report.leaving.map {
        LeavingRecord(
            it.endpoint.value,
            it.startedAt?.milliseconds,
            ageOf(it.ago),
            it.byRecord
        )
    },
    storeAnswerAge = report.storeAnswerAge?.let(::ageOf),
    organisationUse = report.organisationUse.map(::recordOf),
    paces = report.paces.map(::recordOf),
    era = report.position.era.value,
    tableVersion = report.tableVersion?.value
)

private fun recordOf(pace: ReportedPace) = PaceRecord(
    pace.endpoint.value,
    pace.startedAt?.milliseconds,
    (pace.ratio * HUNDREDTHS_PER_UNIT).roundToInt(),
    (pace.weight * HUNDREDTHS_PER_UNIT).roundToInt()
)

/** Figures that no gateway means are limited, so that they count for no more than real ones. */
private fun paceOf(record: PaceRecord) = ReportedPace(
    EndpointId(record.endpoint),
    record.startedAt?.let { UnixTime(it) },
    record.ratio.coerceIn(RATIO_HUNDREDTHS) / HUNDREDTHS_PER_UNIT,
    record.weight.coerceIn(WEIGHT_HUNDREDTHS) / HUNDREDTHS_PER_UNIT
)

private fun recordOf(clearance: ReportedClearance) = ClearanceRecord(
    part = clearance.parts.first().value,
    ago = ageOf(clearance.ago),
    furtherParts = clearance.parts.drop(1).map { it.value }
)

private fun recordOf(suspicion: ReportedSuspicion) = SuspicionRecord(
    part = suspicion.parts.first().value,
    furtherParts = suspicion.parts.drop(1).map { it.value },
    othersServed = suspicion.othersServed,
    losses = suspicion.losses.map { loss ->
        LossRecord(
            start = loss.start.value,
            organisation = loss.organisation.value,
            sentAgo = ageOf(loss.sentAgo),
            lostAgo = ageOf(loss.lostAgo)
        )
    }
)

private fun recordOf(use: ServiceUse) = ServiceUseRecord(
    service = use.service.value,
    largest = use.largest.map { (organisation, engineUse) ->
        OrganisationUseRecord(
            organisation.value,
            engineUse.asked.inWholeMilliseconds,
            engineUse.admitted.inWholeMilliseconds
        )
    },
    othersAsked = use.others.asked.inWholeMilliseconds,
    othersAdmitted = use.others.admitted.inWholeMilliseconds,
    activeOrganisations = use.activeOrganisations
)

private fun ageOf(time: Duration): Int = time.inWholeMilliseconds.coerceIn(AGES_MS).toInt()

private fun recordOf(endpoint: EndpointId, load: EngineLoad) = LoadRecord(
    endpoint = endpoint.value,
    openRequests = load.openRequests,
    decodingRequests = load.decodingRequests,
    context = load.context,
    pendingPrefill = load.pendingPrefill.inWholeMilliseconds,
    totalPrefillSent = load.totalPrefillSent.inWholeMilliseconds,
    totalHelperPrefillSent = load.totalHelperPrefillSent.inWholeMilliseconds,
    delayCostPerSecond = (load.delayCostPerSecond * HUNDREDTHS_PER_UNIT).roundToInt(),
    gapTolerances = load.gapTolerances.map { tolerance ->
        GapToleranceRecord(
            (tolerance.value * HUNDREDTHS_PER_UNIT).roundToInt(),
            tolerance.gap.takeIf { it.isFinite() }?.inWholeMilliseconds?.toInt()
        )
    }
)

private fun reportOf(record: ReportRecord) = GatewayReport(
    host = HostId(record.host),
    incarnation = IncarnationId(record.incarnation),
    sequence = record.sequence,
    position = StorePosition(StoreEra(record.era), Revision(record.revision)),
    storeReachable = record.storeReachable,
    ready = record.ready,
    loads = record.loads.associate { EndpointId(it.endpoint) to loadOf(it) },
    members = record.members.map(::addressOf),
    crashes = CrashReport(
        record.suspicions.map(::suspicionOf),
        record.clearances.map {
            ReportedClearance(partsOf(it.part, it.furtherParts), durationOf(it.ago))
        }
    ),
    age = durationOf(record.age),
    leaving = record.leaving.map {
        ReportedLeaving(
            EndpointId(it.endpoint),
            it.startedAt?.let { start -> UnixTime(start) },
            durationOf(it.ago),
            it.byRecord
        )
    },
    storeAnswerAge = record.storeAnswerAge?.let(::durationOf),
    organisationUse = record.organisationUse.take(MAX_USE_ENTRIES).map(::serviceUseOf),
    paces = record.paces.map(::paceOf),
    tableVersion = record.tableVersion?.let { TableVersion(it) }
)

private fun partsOf(first: Long, further: List<Long>): List<PromptPartId> =
    (listOf(first) + further).map { PromptPartId(it) }

private fun suspicionOf(record: SuspicionRecord) = ReportedSuspicion(
    parts = partsOf(record.part, record.furtherParts),
    othersServed = record.othersServed,
    losses = record.losses.map {
        ReportedLoss(
            start = EndpointStart(it.start),
            organisation = OrganisationDigest(it.organisation),
            sentAgo = durationOf(it.sentAgo),
            lostAgo = durationOf(it.lostAgo)
        )
    }
)

/** A gateway lists few organisations; further ones are ignored, so that no sender adds many. */
private fun serviceUseOf(record: ServiceUseRecord) = ServiceUse(
    service = ServiceId(record.service),
    largest = record.largest.take(MAX_USE_ENTRIES)
        .associate { OrganisationDigest(it.organisation) to engineUseOf(it.asked, it.admitted) },
    others = engineUseOf(record.othersAsked, record.othersAdmitted),
    activeOrganisations = record.activeOrganisations.coerceIn(ORGANISATIONS)
)

private fun engineUseOf(asked: Long, admitted: Long) = EngineUse(
    asked.coerceIn(TIMES_MS).milliseconds,
    admitted.coerceIn(TIMES_MS).milliseconds
)

private fun durationOf(age: Int): Duration = age.toLong().coerceIn(AGES_MS).milliseconds

/** Figures that no gateway means are limited, so that sums of loads stay in range. */
private fun loadOf(record: LoadRecord) = EngineLoad(
    openRequests = record.openRequests.coerceIn(REQUESTS),
    decodingRequests = record.decodingRequests.coerceIn(REQUESTS),
    context = record.context.coerceIn(TOKENS),
    pendingPrefill = record.pendingPrefill.coerceIn(TIMES_MS).milliseconds,
    totalPrefillSent = record.totalPrefillSent.coerceIn(TOTALS_MS).milliseconds,
    totalHelperPrefillSent = record.totalHelperPrefillSent.coerceIn(TOTALS_MS).milliseconds,
    delayCostPerSecond = record.delayCostPerSecond.coerceAtLeast(0) / HUNDREDTHS_PER_UNIT,
    gapTolerances = record.gapTolerances.map {
        GapTolerance(
            it.gap?.coerceAtLeast(0)?.milliseconds ?: Duration.INFINITE,
            it.value.coerceAtLeast(0) / HUNDREDTHS_PER_UNIT
        )
    }
)

private fun addressOf(text: String): EndpointAddress {
    val port = text.substringAfterLast(':').toInt()
    require(port in PORTS) { "port $port is out of range" }
    return EndpointAddress(text.substringBeforeLast(':'), port)
}

private val PORTS = 1..65_535

/** Plausible ages in milliseconds; older ones count as one day. */
private val AGES_MS = 0L..86_400_000L

/** Plausible requests, tokens and organisations, and times in milliseconds. */
private val REQUESTS = 0..1_000_000
private val TOKENS = 0L..1_000_000_000_000L
private val TIMES_MS = 0L..2_592_000_000L
private val ORGANISATIONS = 0..1_000_000
private val TOTALS_MS = 0L..1_000_000_000_000_000L
private const val MAX_USE_ENTRIES = 4

/** Ratios of observed to expected times, and numbers of observations. */
private val RATIO_HUNDREDTHS = 100..3_200
private val WEIGHT_HUNDREDTHS = 1..500
private const val REPORT_VERSION: Byte = 1
private const val HUNDREDTHS_PER_UNIT = 100.0
