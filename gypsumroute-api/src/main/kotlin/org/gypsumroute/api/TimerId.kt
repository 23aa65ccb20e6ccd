package org.gypsumroute.api

/** Names a timer; setting a timer again replaces the earlier one. */
sealed interface TimerId {
    /** A caller's deadline. */
    data class RequestDeadline(val request: RequestId) : TimerId

    /** End of the wait before the next attempt, or of the wait for grants. */
    data class Attempt(val request: RequestId) : TimerId

    /** End of a lease: grant not used, not renewed, deadline, or cancel not confirmed. */
    data class Lease(val lease: LeaseId) : TimerId

    /** End of the wait for a peer's silent connection to resume. */
    data class PeerSilence(val peer: HostId) : TimerId

    /** Next attempt to connect to a peer. */
    data class PeerConnect(val peer: HostId) : TimerId

    /** The process's periodic work: heartbeats, renewals, pause detection. */
    data object Heartbeat : TimerId

    /** Next comparison of the ledger with the engine. */
    data object EngineCheck : TimerId

    /** Next read of the configuration service. */
    data object DocumentRead : TimerId

    /** Next read of the host list. */
    data object HostListRead : TimerId

    /** End of the wait for peers' documents after the start. */
    data object Startup : TimerId

    /** Next order to the engine may be given. */
    data object EngineOrder : TimerId

    /** End of the time that a forwarded request has. */
    data class ForwardDeadline(val request: RequestId) : TimerId

    /** Next read of the published records after a failure. */
    data object PublishedRead : TimerId

    /** End of the time in which a balancer notices a planned stop. */
    data object DrainSettled : TimerId

    /** Next renewal of memory that engines set aside. */
    data object ReservationRenewal : TimerId

    /** Next report to the other gateways, if nothing changes before. */
    data object ReportBeat : TimerId

    /** Next report to the other gateways while work changes. */
    data object ReportChange : TimerId

    /** End of the time in which lapsed endpoint records may return. */
    data object EndpointReturn : TimerId
}
