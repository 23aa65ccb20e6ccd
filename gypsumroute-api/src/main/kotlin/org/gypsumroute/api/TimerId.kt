package org.gypsumroute.api

/** Identifies a timer. Setting a timer again replaces the earlier setting. */
sealed interface TimerId {
    /** Deadline of a request at an entry. */
    data class RequestDeadline(val request: RequestId) : TimerId

    /** End of a request's wait before its next attempt, or for the grants of an attempt. */
    data class Attempt(val request: RequestId) : TimerId

    /**
     * Next time limit of a lease: for the use of its grant, for its renewal, for its work, or for
     * the confirmation of its cancellation.
     */
    data class Lease(val lease: LeaseId) : TimerId

    /** End of the time in which work at a silent peer waits for the connection to resume. */
    data class PeerSilence(val peer: HostId) : TimerId

    /** End of the wait before the next attempt to connect to a peer. */
    data class PeerConnect(val peer: HostId) : TimerId

    /** Periodic work of a process: heartbeats, lease renewals and the detection of pauses. */
    data object Heartbeat : TimerId

    /** Next comparison of the agent's ledger with the state of the engine. */
    data object EngineCheck : TimerId

    /** Next read of the documents from the configuration service. */
    data object DocumentRead : TimerId

    /** Next read of the host list. */
    data object HostListRead : TimerId

    /** End of the wait for documents of peers after the start. */
    data object Startup : TimerId

    /** Time shortly before the end of the longest planned stop of an entry. */
    data object DrainLimit : TimerId

    /** Earliest time of the next order to the engine. */
    data object EngineOrder : TimerId

    /** Deadline of a request at a gateway. */
    data class ForwardDeadline(val request: RequestId) : TimerId

    /** Next read of the published records after a failure. */
    data object PublishedRead : TimerId

    /** Time at which the answer to the latest read of the store is overdue. */
    data object ReadOverdue : TimerId

    /**
     * Next check of a draining gateway whether it can stop accepting connections: first when the
     * load balancer has had the time to notice the planned stop.
     */
    data object DrainSettled : TimerId

    /** End of the time that open requests have in a planned stop of a gateway. */
    data object DrainEnd : TimerId

    /** Next review of the requests that wait at a gateway for room at engines. */
    data object AdmissionReview : TimerId

    /** Next renewal of memory reservations at engines. */
    data object ReservationRenewal : TimerId

    /** Next regular report to the other gateways, sent whether or not anything changed. */
    data object ReportBeat : TimerId

    /** Next report of changed work to the other gateways, delayed to bound their number. */
    data object ReportChange : TimerId

    /**
     * End of the time after an outage of the store in which expired endpoint records may return.
     */
    data object EndpointReturn : TimerId

    /** End of the time in which what an older copy of the store lacks is written again. */
    data object RestoreEnd : TimerId
}
