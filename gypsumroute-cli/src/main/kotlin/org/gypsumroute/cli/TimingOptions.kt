package org.gypsumroute.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.gypsumroute.core.Timings

/** Options for the intervals and limits of the protocol between entries and agents. */
internal class TimingOptions :
    OptionGroup(name = "Timing options", help = "All processes of a fleet use the same values.") {
    private val defaults = Timings()
    private val activeHeartbeat by option(help = "Heartbeat interval with live leases, in seconds")
        .seconds(defaults.activeHeartbeat)
    private val idleHeartbeat by option(help = "Heartbeat interval without leases, in seconds")
        .seconds(defaults.idleHeartbeat)
    private val missedHeartbeats by option(help = "Missed heartbeats before a fresh connection")
        .int().restrictTo(1..MAX_MISSED_HEARTBEATS).default(defaults.missedHeartbeats)
    private val leaseTime by option(help = "Life of a lease that is not renewed, in seconds")
        .seconds(defaults.leaseTime)
    private val grantTime by option(help = "Life of a grant that is not used, in seconds")
        .seconds(defaults.grantTime)
    private val resumeTime by option(help = "Wait for a silent connection, in seconds")
        .seconds(defaults.resumeTime)
    private val engineCheck by option(help = "Interval of reads of the engine's state, in seconds")
        .seconds(defaults.engineCheck)
    private val pauseThreshold by option(help = "Shortest pause that is noticed, in seconds")
        .seconds(defaults.pauseThreshold)
    private val startupWait by option(help = "Wait for peers' documents at the start, in seconds")
        .seconds(defaults.startupWait)
    private val documentBackoff by option(help = "Wait after a failed document read, in seconds")
        .seconds(defaults.documentBackoff)
    private val documentReadAlone by option(help = "Interval of reads without a peer, in seconds")
        .seconds(defaults.documentReadAlone)
    private val hostListBackoff by option(help = "Wait after a failed host list read, in seconds")
        .seconds(defaults.hostListBackoff)
    private val connectBackoff by option(help = "First wait before a new connection, in seconds")
        .seconds(defaults.connectBackoff)
    private val longestConnectBackoff by option(help = "Longest such wait, in seconds")
        .seconds(defaults.longestConnectBackoff)
    private val orderDwell by option(help = "Time between orders to an engine, in seconds")
        .seconds(defaults.orderDwell)
    private val orderStagger by option(help = "Time between weight loads of a pool, in seconds")
        .seconds(defaults.orderStagger)
    private val documentWatchers by option(help = "Document readers per data centre")
        .int().restrictTo(1..MAX_DOCUMENT_WATCHERS).default(defaults.documentWatchers)
    private val connectedEndpoints by option(help = "Endpoints that an entry connects to")
        .int().restrictTo(1..MAX_CONNECTED_ENDPOINTS).default(defaults.connectedEndpoints)

    fun timings() = Timings(
        activeHeartbeat = activeHeartbeat,
        idleHeartbeat = idleHeartbeat,
        missedHeartbeats = missedHeartbeats,
        leaseTime = leaseTime,
        grantTime = grantTime,
        resumeTime = resumeTime,
        engineCheck = engineCheck,
        pauseThreshold = pauseThreshold,
        startupWait = startupWait,
        documentBackoff = documentBackoff,
        documentReadAlone = documentReadAlone,
        hostListBackoff = hostListBackoff,
        connectBackoff = connectBackoff,
        longestConnectBackoff = longestConnectBackoff,
        orderDwell = orderDwell,
        orderStagger = orderStagger,
        documentWatchers = documentWatchers,
        connectedEndpoints = connectedEndpoints
    )

    private companion object {
        const val MAX_MISSED_HEARTBEATS = 100
        const val MAX_DOCUMENT_WATCHERS = 1000
        const val MAX_CONNECTED_ENDPOINTS = 10_000
    }
}
