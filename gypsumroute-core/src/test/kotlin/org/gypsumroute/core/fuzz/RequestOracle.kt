package org.gypsumroute.core.fuzz

import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HostId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState

/**
 * Knows only requests, runs and actions, and says what must hold between them.
 *
 * A request is judged as its caller sees it: a killed entry takes its callers' connections along,
 * so its requests need no answer.
 */
internal class RequestOracle {
    private val requests = mutableMapOf<RequestId, Seen>()
    private val actionRuns = mutableMapOf<ActionKey, Int>()
    val faults = mutableListOf<String>()

    fun sent(request: RequestId, entry: HostId, deadline: Moment) {
        requests[request] = Seen(entry, deadline)
    }

    fun ran(request: RequestId) {
        val seen = requests[request] ?: return
        seen.ran = true
        if (seen.ended?.runState == RunState.NOT_RUN) {
            faults += "$request ran after it was refused as not_run (${seen.ended?.kind})"
        }
    }

    fun actionRan(key: ActionKey) {
        val runs = actionRuns.merge(key, 1, Int::plus) ?: 0
        if (runs > 1) faults += "action $key ran $runs times"
    }

    fun failed(request: RequestId, failure: Failure, at: Moment) {
        val seen = requests[request] ?: return
        if (failure.runState == RunState.NOT_RUN && seen.ran) {
            faults += "$request was refused as not_run (${failure.kind}) although it ran"
        }
        end(request, seen, Ending(failure.kind.code, failure.runState), at)
    }

    fun answered(request: RequestId, at: Moment) {
        val seen = requests[request] ?: return
        end(request, seen, Ending("ok", RunState.RAN), at)
    }

    /** The entry's connections broke; nobody waits for its requests any more. */
    fun entryDied(entry: HostId) {
        requests.values.removeAll { it.entry == entry && it.ended == null }
    }

    fun callerLeft(request: RequestId) {
        requests.remove(request)
    }

    fun open(): List<RequestId> = requests.filterValues { it.ended == null }.keys.toList()

    /** Requests of running entries that should have ended by [now]. */
    fun overdue(now: Moment, tolerated: (HostId) -> Boolean): List<RequestId> =
        requests.filterValues { it.ended == null && it.deadline < now && !tolerated(it.entry) }
            .keys.toList()

    fun outcomes(): Map<String, Int> =
        requests.values.mapNotNull { it.ended?.kind }.groupingBy { it }.eachCount()

    private fun end(request: RequestId, seen: Seen, ending: Ending, at: Moment) {
        if (seen.ended !=
            null
        ) {
            faults += "$request ended twice: ${seen.ended?.kind}, ${ending.kind}"
        }
        seen.ended = ending
        seen.endedAt = at
    }

    private class Seen(val entry: HostId, val deadline: Moment) {
        var ran = false
        var ended: Ending? = null
        var endedAt: Moment? = null
    }

    private data class Ending(val kind: String, val runState: RunState)
}
