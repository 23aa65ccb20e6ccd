/*
 * The numbered log events. `docs/log-events.md` is the catalogue; a test compares the two.
 */
package org.gypsumroute.api

/** A log event with its fixed number. Numbers are never reused. */
enum class LogEvent(val number: Int, val level: LogLevel, val text: String) {
    PROCESS_STARTED(1001, LogLevel.INFO, "process started"),
    PROCESS_READY(1002, LogLevel.INFO, "process is ready for new work"),
    DRAIN_STARTED(1003, LogLevel.INFO, "planned stop began; new work is refused"),
    DRAIN_FINISHED(1004, LogLevel.INFO, "planned stop finished"),
    PROCESS_PAUSED(1005, LogLevel.WARN, "the process was paused"),
    DOCUMENT_ACCEPTED(2001, LogLevel.INFO, "service document accepted"),
    DOCUMENT_REJECTED(2002, LogLevel.WARN, "service document refused"),
    DOCUMENT_STALE(2003, LogLevel.INFO, "older service document ignored"),
    CONFIGURATION_UNAVAILABLE(2004, LogLevel.WARN, "configuration service is unavailable"),
    HOST_LIST_UNAVAILABLE(2005, LogLevel.WARN, "host list is unavailable"),
    ROUTES_ACCEPTED(2006, LogLevel.INFO, "routing table accepted"),
    RECORD_UNUSABLE(2007, LogLevel.WARN, "published record skipped"),
    STORE_LOST(2008, LogLevel.WARN, "the store of published records does not answer"),
    STORE_REGAINED(2009, LogLevel.INFO, "the store of published records answers again"),
    HISTORY_LOST(2010, LogLevel.INFO, "the store dropped its history; reading all records again"),
    RECORDS_READ(2011, LogLevel.INFO, "all published records were read"),
    DATA_CENTRE_OUT(2012, LogLevel.INFO, "operators took a data centre out"),
    DATA_CENTRE_BACK(2013, LogLevel.INFO, "operators took a data centre back"),
    ENDPOINT_ADDED(2014, LogLevel.INFO, "endpoint published"),
    ENDPOINT_REMOVED(2015, LogLevel.INFO, "endpoint removed"),
    ENDPOINT_LEAVING(2016, LogLevel.INFO, "endpoint is leaving"),
    ENDPOINT_REBORN(2017, LogLevel.INFO, "endpoint started again under its id"),
    PEER_CONNECTED(3001, LogLevel.INFO, "peer connected"),
    PEER_DISCONNECTED(3002, LogLevel.INFO, "peer disconnected"),
    PEER_SILENT(3003, LogLevel.WARN, "peer is silent; opening a fresh connection"),
    MEMBER_JOINED(3004, LogLevel.INFO, "another gateway reports"),
    MEMBER_LOST(3005, LogLevel.WARN, "another gateway stopped reporting"),
    REQUEST_REFUSED(4001, LogLevel.INFO, "request refused"),
    REQUEST_FAILED(4002, LogLevel.WARN, "request failed after dispatch"),
    REQUEST_MOVED(4003, LogLevel.WARN, "request continues on another endpoint"),
    READER_STALLED(4004, LogLevel.WARN, "slow reader's answer was dropped"),
    REQUEST_ROUTED(4005, LogLevel.INFO, "request sent to an endpoint"),
    ATTEMPT_FAILED(4006, LogLevel.WARN, "an attempt did not serve the request"),
    REQUEST_SERVED(4007, LogLevel.INFO, "request served"),
    CALLER_LEFT(4008, LogLevel.INFO, "caller left before the answer was complete"),
    LEASE_EXPIRED(5001, LogLevel.WARN, "lease expired; its work is cancelled"),
    ORPHAN_STREAM(5002, LogLevel.WARN, "engine holds a stream without a lease; cancelling it"),
    ORPHAN_HANDLE(5003, LogLevel.WARN, "engine holds an unclaimed cache handle; releasing it"),
    ENGINE_COLD(5004, LogLevel.WARN, "engine turned cold; the ramp starts again"),
    ENGINE_UNREACHABLE(5005, LogLevel.WARN, "engine is unreachable"),
    ACTION_UNKNOWN(5006, LogLevel.WARN, "outcome of an action is unknown"),
    ENGINE_ORDER_GIVEN(5007, LogLevel.INFO, "order given to the engine"),
    ENGINE_ORDER_REFUSED(5008, LogLevel.WARN, "engine refused an order"),
    EFFECT_FAILED(6001, LogLevel.ERROR, "an effect could not be carried out"),
    FRAME_REJECTED(6002, LogLevel.WARN, "a frame from a peer was refused"),
    HANDSHAKE_FAILED(6003, LogLevel.WARN, "handshake with a peer failed")
}

/** Severity of a log event. */
enum class LogLevel { INFO, WARN, ERROR }
