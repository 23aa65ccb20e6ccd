package org.gypsumroute.wire

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.DocumentDigest
import org.gypsumroute.api.DocumentStamp
import org.gypsumroute.api.DocumentVersion
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.GroupSegment
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.SegmentHandle
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.api.WorkOrder

/** Generates one random message or data frame of every kind from a seed. */
internal class FrameGenerator(seed: Long) {
    private val random = Random(seed)
    private val lease get() = LeaseId(text())
    private val service get() = ServiceId(text())
    private val tokens get() = Tokens(number())

    fun messages(): List<PeerMessage> = listOf(
        PeerMessage.Heartbeat(random.nextLong(), randomlyNull { summary() }),
        PeerMessage.DocumentVersions(List(random.nextInt(9)) { service to stamp() }.toMap()),
        PeerMessage.DocumentRequest(service),
        PeerMessage.DocumentOffer(service, DocumentContent(bytes(3000))),
        PeerMessage.GrantRequest(workOrder()),
        PeerMessage.GrantIssued(lease, duration(), summary()),
        PeerMessage.GrantQueued(lease, duration()),
        PeerMessage.GrantRefused(lease, failure(), summary()),
        PeerMessage.Dispatch(lease, Bytes(number()), tokens, List(random.nextInt(5)) { handle() }),
        PeerMessage.LeaseRelease(lease),
        PeerMessage.LeaseRenewal(List(random.nextInt(20)) { lease }),
        PeerMessage.SegmentReady(lease, handle()),
        PeerMessage.WorkFailed(lease, failure()),
        PeerMessage.ActionKeyRequest(RequestId(text()), service, OrganisationId(text())),
        PeerMessage.ActionKeyIssued(RequestId(text()), ActionKey(text()))
    )

    fun dataFrames(): List<DataFrame> = listOf(
        DataFrame.PromptChunk(lease, random.nextInt(), bytes(2000), random.nextBoolean()),
        DataFrame.AnswerChunk(lease, random.nextInt(), tokens, bytes(2000)),
        DataFrame.AnswerEnd(lease, random.nextInt(), text(), random.nextInt(), text()),
        DataFrame.AnswerResume(lease, random.nextInt()),
        DataFrame.AnswerAcknowledge(lease, random.nextInt())
    )

    /** Encoded frames of every kind, without their length fields. */
    fun encoded(): List<ByteArray> =
        (messages().map { encodeControl(it) } + dataFrames().map { encodeData(it) })
            .map { it.copyOfRange(LENGTH_BYTES, it.size) }

    private fun text(): String =
        String(CharArray(random.nextInt(30)) { random.nextInt(1, 0xd800).toChar() })

    private fun bytes(maxLength: Int): ByteArray = random.nextBytes(random.nextInt(maxLength))

    private fun number(): Long = random.nextLong() ushr random.nextInt(64)

    private fun duration(): Duration = when (random.nextInt(8)) {
        0 -> Duration.INFINITE
        1 -> Duration.ZERO
        else -> random.nextLong(-1_000_000, 1_000_000_000_000).microseconds
    }

    private fun <T> randomlyNull(create: () -> T): T? = if (random.nextBoolean()) create() else null

    private fun summary() = EndpointSummary(
        tokens,
        tokens,
        random.nextDouble(),
        random.nextInt(),
        random.nextInt(),
        duration(),
        random.nextBoolean()
    )

    private fun stamp() = DocumentStamp(
        DocumentVersion(number()),
        DocumentDigest(random.nextBytes(32).joinToString("") { "%02x".format(it) })
    )

    private fun failure() = Failure(
        ErrorKind.entries.random(random),
        text(),
        RunState.entries.random(random),
        randomlyNull { duration() }
    )

    private fun handle() = SegmentHandle(HandleId(text()), text(), tokens)

    private fun workOrder() = WorkOrder(
        lease = lease,
        request = RequestId(text()),
        service = service,
        organisation = OrganisationId(text()),
        lengthClass = LengthClassName(text()),
        kind = WorkKind.entries.random(random),
        promptTokens = tokens,
        outputLimit = tokens,
        remaining = duration(),
        prefix = randomlyNull { PrefixDigest(random.nextLong()) },
        group = randomlyNull { GroupSegment(random.nextInt(), random.nextInt()) },
        actionKey = randomlyNull { ActionKey(text()) },
        path = randomlyNull { text() }
    )
}
