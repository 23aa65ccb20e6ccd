package org.gypsumroute.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.core.leases.BufferLedger
import org.gypsumroute.core.leases.LeaseRecord
import org.gypsumroute.core.requests.DeadlineQueue
import org.gypsumroute.core.requests.RequestRecord

/**
 * State of an entry.
 *
 * [awaitingBody] has the arrival times of requests whose body has not arrived yet, [requests] the
 * admitted requests, and [failedRequests] those that failed and are still held by the front end.
 * [deadlines] may have entries of requests that have ended. [retryBudget] is the number of retries
 * that may be made now. [maxBufferedBytes] limits the bodies and answers buffered for all callers.
 * [drainLimit] is the longest planned stop, and [drainLimitReached] whether open requests were
 * failed because of it.
 */
data class EntryState(
    override val common: CommonState,
    val awaitingBody: PersistentMap<RequestId, Moment> = persistentMapOf(),
    val requests: PersistentMap<RequestId, RequestRecord> = persistentMapOf(),
    val failedRequests: PersistentSet<RequestId> = persistentSetOf(),
    val leases: PersistentMap<LeaseId, LeaseRecord> = persistentMapOf(),
    val leasesByHost: PersistentMap<HostId, PersistentSet<LeaseId>> = persistentMapOf(),
    val openRequests: PersistentMap<ServiceOrganisation, Int> = persistentMapOf(),
    val deadlines: DeadlineQueue = DeadlineQueue.EMPTY,
    val buffers: BufferLedger = BufferLedger(),
    val retryBudget: Double = MAX_RETRY_BUDGET,
    val nextLeaseNumber: Long = 1,
    val maxBufferedBytes: Bytes = Bytes(DEFAULT_BUFFERED_BYTES),
    val drainLimit: Duration = 10.minutes,
    val drainLimitReached: Boolean = false
) : NodeState

/** One organisation at one service; open requests are counted and limited for each such pair. */
data class ServiceOrganisation(val service: ServiceId, val organisation: OrganisationId)

// Number of retries allowed in a burst before the document's share of requests limits them.
internal const val MAX_RETRY_BUDGET = 10.0
private const val DEFAULT_BUFFERED_BYTES = 256L * 1024 * 1024
