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
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.Revision
import org.gypsumroute.api.Stake

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
    revision = report.revision.value,
    storeAnswers = report.storeAnswers,
    loads = report.loads.map { (endpoint, load) -> recordOf(endpoint, load) },
    members = report.members.map { it.toString() },
    ready = report.ready
)

private fun recordOf(endpoint: EndpointId, load: EngineLoad) = LoadRecord(
    endpoint = endpoint.value,
    open = load.open,
    writers = load.writers,
    context = load.context,
    unread = load.unread.inWholeMilliseconds,
    readSent = load.readSent.inWholeMilliseconds,
    helpSent = load.helpSent.inWholeMilliseconds,
    urgency = (load.urgency * HUNDREDTHS_PER_UNIT).roundToInt(),
    stakes = load.stakes.map { stake ->
        GapToleranceRecord(
            (stake.value * HUNDREDTHS_PER_UNIT).roundToInt(),
            stake.gap.takeIf { it.isFinite() }?.inWholeMilliseconds?.toInt()
        )
    }
)

private fun reportOf(record: ReportRecord) = GatewayReport(
    host = HostId(record.host),
    incarnation = IncarnationId(record.incarnation),
    sequence = record.sequence,
    revision = Revision(record.revision),
    storeAnswers = record.storeAnswers,
    ready = record.ready,
    loads = record.loads.associate { EndpointId(it.endpoint) to loadOf(it) },
    members = record.members.map(::addressOf)
)

private fun loadOf(record: LoadRecord) = EngineLoad(
    open = record.open,
    writers = record.writers,
    context = record.context,
    unread = record.unread.milliseconds,
    readSent = record.readSent.milliseconds,
    helpSent = record.helpSent.milliseconds,
    urgency = record.urgency / HUNDREDTHS_PER_UNIT,
    stakes = record.stakes.map {
        Stake(it.gap?.milliseconds ?: Duration.INFINITE, it.value / HUNDREDTHS_PER_UNIT)
    }
)

private fun addressOf(text: String) =
    EndpointAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

private const val REPORT_VERSION: Byte = 1
private const val HUNDREDTHS_PER_UNIT = 100.0
