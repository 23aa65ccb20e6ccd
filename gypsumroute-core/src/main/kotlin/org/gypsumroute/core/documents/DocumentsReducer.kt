/*
 * Distributes service documents between peers and decides which version is in force.
 *
 * Acceptance depends on nothing but the documents: the highest stamp of a service wins, so
 * processes that received the same documents in any order hold the same ones. A few watchers per
 * data centre watch the configuration service; all other processes get documents from their peers.
 */
package org.gypsumroute.core.documents

import arrow.core.Either
import kotlin.time.Duration
import org.gypsumroute.api.DocumentFault
import org.gypsumroute.api.DocumentStamp
import org.gypsumroute.api.Effect
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Step
import org.gypsumroute.api.TimerId
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.logEffect
import org.gypsumroute.core.peers.sendTo
import org.gypsumroute.core.peers.sendToAll
import org.gypsumroute.core.rendezvousWeight
import org.gypsumroute.core.stableHash
import org.gypsumroute.core.step
import org.gypsumroute.core.unitInterval

internal fun reduceDocumentRead(
    common: CommonState,
    event: PlatformEvent.DocumentRead
): Step<CommonState> = when (val reading = event.result) {
    is Either.Left -> common.step(logRejected(event.from, reading.value.first()))
    is Either.Right -> considerDocument(common, event.from, reading.value)
}

private fun considerDocument(
    common: CommonState,
    from: HostId?,
    offered: EncodedDocument
): Step<CommonState> {
    val service = offered.document.service
    val known = common.documents.accepted[service]
    return when {
        known == null || offered.stamp > known.stamp -> acceptDocument(common, offered)

        offered.stamp == known.stamp -> common.step()

        else -> common.step(
            logEffect(
                LogEvent.DOCUMENT_STALE,
                "service" to service,
                "version" to offered.document.version,
                "accepted" to known.document.version,
                "from" to (from ?: CONFIGURATION_SERVICE)
            )
        )
    }
}

private fun acceptDocument(common: CommonState, document: EncodedDocument): Step<CommonState> {
    val service = document.document.service
    val accepted = common.documents.accepted.put(service, document)
    val replacedHash = common.documents.accepted[service]?.let { stampHash(service, it.stamp) } ?: 0
    val hash = common.documents.hash xor replacedHash xor stampHash(service, document.stamp)
    val next = common.copy(documents = common.documents.copy(accepted = accepted, hash = hash))
    val announcement = PeerMessage.DocumentVersions(mapOf(service to document.stamp))
    val effects = listOf(
        logEffect(
            LogEvent.DOCUMENT_ACCEPTED,
            "service" to service,
            "version" to document.document.version,
            "digest" to document.digest
        ),
        RuntimeEffect.Count(Metric.DOCUMENTS, MetricLabels(service = service))
    )
    return Step(next, effects + sendToAll(next, announcement))
}

/** Requests the documents of which the peer has a newer version; sends none of its own. */
internal fun requestNewerDocuments(
    common: CommonState,
    from: HostId,
    stamps: Map<ServiceId, DocumentStamp>
): Step<CommonState> {
    val newer = stamps.filter { (service, stamp) ->
        val known = common.documents.accepted[service]
        known == null || stamp > known.stamp
    }
    val effects = newer.keys.mapNotNull { sendTo(common, from, PeerMessage.DocumentRequest(it)) }
    return Step(common, effects)
}

internal fun reduceDocumentRequest(
    common: CommonState,
    from: HostId,
    service: ServiceId
): Step<CommonState> {
    val known = common.documents.accepted[service] ?: return common.step()
    val offer = PeerMessage.DocumentOffer(service, known.content)
    return Step(common, listOfNotNull(sendTo(common, from, offer)))
}

/** Sends the stamps of all documents to a peer whose heartbeat carries another hash. */
internal fun reduceDocumentsHash(common: CommonState, from: HostId, hash: Long): Step<CommonState> {
    if (hash == common.documents.hash) return common.step()
    val stamps = PeerMessage.DocumentVersions(common.documents.stamps())
    return Step(common, listOfNotNull(sendTo(common, from, stamps)))
}

/**
 * Handles the end of a read or watch. After a failure, the next read waits for the back-off. After
 * a success, watchers start the next watch; other processes set a timer, and when it fires they
 * read again only if they have no connected peer.
 */
internal fun reduceConfigurationReadEnded(
    common: CommonState,
    succeeded: Boolean
): Step<CommonState> {
    val failure = logEffect(LogEvent.CONFIGURATION_UNAVAILABLE)
    val idle = common.copy(
        documents = common.documents.copy(watchOutstanding = false, firstReadEnded = true)
    )
    return when {
        !succeeded -> idle.step(failure, readTimer(common, common.timings.documentBackoff))
        isDocumentWatcher(common) -> startWatch(idle)
        else -> idle.step(readTimer(common, common.timings.documentReadAlone))
    }
}

internal fun reduceDocumentReadTimer(common: CommonState): Step<CommonState> = when {
    common.documents.watchOutstanding -> common.step()

    isDocumentWatcher(common) || common.peers.values.none { it.connection != null } ->
        common.step(PlatformEffect.ReadDocuments)

    else -> common.step(readTimer(common, common.timings.documentReadAlone))
}

private fun startWatch(common: CommonState): Step<CommonState> =
    common.copy(documents = common.documents.copy(watchOutstanding = true))
        .step(PlatformEffect.WatchDocuments)

/**
 * Whether this process watches the configuration service. Rendezvous hashing chooses a few watchers
 * among the hosts of each data centre that are not leaving.
 */
internal fun isDocumentWatcher(common: CommonState): Boolean {
    val own = common.node.host.value
    val ownWeight = rendezvousWeight(WATCHER_KEY, own)
    val higherRanked = common.hosts.values.count { record ->
        record.dataCentre == common.node.dataCentre && !record.leaving &&
            rendezvousWeight(WATCHER_KEY, record.host.value) > ownWeight
    }
    return higherRanked < common.timings.documentWatchers
}

// Jitter of up to one interval keeps processes that lost the service at the same moment from
// reading it again at the same moment.
private fun readTimer(common: CommonState, interval: Duration): Effect =
    RuntimeEffect.SetTimer(TimerId.DocumentRead, interval * (1 + unitInterval(common.entropy)))

private fun logRejected(from: HostId?, fault: DocumentFault): Effect = logEffect(
    LogEvent.DOCUMENT_REJECTED,
    "from" to (from ?: CONFIGURATION_SERVICE),
    "line" to fault.line,
    "field" to fault.field,
    "problem" to fault.problem
)

private fun stampHash(service: ServiceId, stamp: DocumentStamp): Long =
    stableHash("${service.value}/${stamp.version}/${stamp.digest}")

private const val CONFIGURATION_SERVICE = "configuration service"
private const val WATCHER_KEY = "document-watcher"
