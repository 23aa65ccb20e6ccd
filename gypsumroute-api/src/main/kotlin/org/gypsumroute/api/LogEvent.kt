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
    PEER_CONNECTED(3001, LogLevel.INFO, "peer connected"),
    PEER_DISCONNECTED(3002, LogLevel.INFO, "peer disconnected"),
    PEER_SILENT(3003, LogLevel.WARN, "peer is silent; opening a fresh connection"),
    REQUEST_REFUSED(4001, LogLevel.INFO, "request refused"),
    REQUEST_FAILED(4002, LogLevel.WARN, "request failed after dispatch"),
    REQUEST_MOVED(4003, LogLevel.WARN, "request continues on another endpoint"),
    READER_STALLED(4004, LogLevel.WARN, "slow reader's answer was dropped"),
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
