package org.gypsumroute.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.gypsumroute.core.Timings

/** The intervals and limits of the coordination protocol. */
internal class TimingOptions :
    OptionGroup(name = "Timing options", help = "All processes of a fleet use the same values.") {
    private val standard = Timings()
    private val activeHeartbeat by option(help = "Heartbeat interval with live leases, in seconds")
        .seconds(standard.activeHeartbeat)
    private val idleHeartbeat by option(help = "Heartbeat interval without leases, in seconds")
        .seconds(standard.idleHeartbeat)
    private val missedHeartbeats by option(help = "Missed heartbeats before a fresh connection")
        .int().restrictTo(1..MOST_MISSED).default(standard.missedHeartbeats)
    private val leaseTime by option(help = "Life of a lease that is not renewed, in seconds")
        .seconds(standard.leaseTime)
    private val grantTime by option(help = "Life of a grant that is not used, in seconds")
        .seconds(standard.grantTime)
    private val resumeTime by option(help = "Wait for a silent connection, in seconds")
        .seconds(standard.resumeTime)
    private val engineCheck by option(help = "Interval of reads of the engine's state, in seconds")
        .seconds(standard.engineCheck)
    private val pauseThreshold by option(help = "Shortest pause that is noticed, in seconds")
        .seconds(standard.pauseThreshold)
    private val startupWait by option(help = "Wait for peers' documents at the start, in seconds")
        .seconds(standard.startupWait)
    private val documentBackoff by option(help = "Wait after a failed document read, in seconds")
        .seconds(standard.documentBackoff)
    private val documentReadAlone by option(help = "Interval of reads without a peer, in seconds")
        .seconds(standard.documentReadAlone)
    private val hostListBackoff by option(help = "Wait after a failed host list read, in seconds")
        .seconds(standard.hostListBackoff)
    private val connectBackoff by option(help = "First wait before a new connection, in seconds")
        .seconds(standard.connectBackoff)
    private val longestConnectBackoff by option(help = "Longest such wait, in seconds")
        .seconds(standard.longestConnectBackoff)
    private val orderDwell by option(help = "Time between orders to an engine, in seconds")
        .seconds(standard.orderDwell)
    private val orderStagger by option(help = "Time between weight loads of a pool, in seconds")
        .seconds(standard.orderStagger)
    private val documentWatchers by option(help = "Document readers per data centre")
        .int().restrictTo(1..MOST_WATCHERS).default(standard.documentWatchers)
    private val connectedEndpoints by option(help = "Endpoints that an entry connects to")
        .int().restrictTo(1..MOST_ENDPOINTS).default(standard.connectedEndpoints)

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
        const val MOST_MISSED = 100
        const val MOST_WATCHERS = 1000
        const val MOST_ENDPOINTS = 10_000
    }
}
