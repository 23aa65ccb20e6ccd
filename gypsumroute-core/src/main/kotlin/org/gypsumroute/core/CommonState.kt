package org.gypsumroute.core

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.Moment
import org.gypsumroute.core.documents.DocumentsState
import org.gypsumroute.core.drain.DrainPhase
import org.gypsumroute.core.peers.PeerLink

/**
 * State that processes of all roles have: the clock, the documents, the host list, the peers and
 * the drain.
 *
 * [entropy] are random bits that came with the latest clock reading. [detectedPause] is the length
 * of the pause of this process that the latest clock reading showed, zero if there was none.
 */
data class CommonState(
    val node: NodeIdentity,
    val timings: Timings,
    val policies: Policies,
    val now: Moment = Moment.START,
    val entropy: Long = 0,
    val detectedPause: Duration = Duration.ZERO,
    val documents: DocumentsState = DocumentsState(),
    val hosts: PersistentMap<HostId, HostRecord> = persistentMapOf(),
    val peers: PersistentMap<HostId, PeerLink> = persistentMapOf(),
    val drain: DrainPhase = DrainPhase.SERVING,
    val ready: Boolean = false,
    val startupWaitElapsed: Boolean = false
)
