package org.gypsumroute.core.fuzz

import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HostId
import org.gypsumroute.api.Moment
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState

/**
 * Test oracle: records requests, runs and actions, and collects violations of the rules between
 * them.
 *
 * Requests are checked as their callers see them. When an entry is killed, the connections of its
 * callers break, so its unfinished requests need no answer.
 */
internal class RequestOracle {
    private val requests = mutableMapOf<RequestId, ObservedRequest>()
    private val actionRuns = mutableMapOf<ActionKey, Int>()
    val violations = mutableListOf<String>()

    fun requestSent(request: RequestId, entry: HostId, deadline: Moment) {
        requests[request] = ObservedRequest(entry, deadline)
    }

    fun requestRan(request: RequestId) {
        val observed = requests[request] ?: return
        observed.ran = true
        if (observed.ended?.runState == RunState.NOT_RUN) {
            violations += "$request ran after it was refused as not_run (${observed.ended?.kind})"
        }
    }

    fun actionRan(key: ActionKey) {
        val runs = actionRuns.merge(key, 1, Int::plus) ?: 0
        if (runs > 1) violations += "action $key ran $runs times"
    }

    fun requestFailed(request: RequestId, failure: Failure) {
        val observed = requests[request] ?: return
        if (failure.runState == RunState.NOT_RUN && observed.ran) {
            violations += "$request was refused as not_run (${failure.kind}) although it ran"
        }
        end(request, observed, Ending(failure.kind.code, failure.runState))
    }

    fun requestAnswered(request: RequestId) {
        val observed = requests[request] ?: return
        end(request, observed, Ending("ok", RunState.RAN))
    }

    /**
     * Removes the unfinished requests of a killed entry, whose callers have lost their
     * connections.
     */
    fun entryKilled(entry: HostId) {
        requests.values.removeAll { it.entry == entry && it.ended == null }
    }

    fun unfinished(): List<RequestId> = requests.filterValues { it.ended == null }.keys.toList()

    /** Requests of running entries that should have ended by [now]. */
    fun overdue(now: Moment, isExcused: (HostId) -> Boolean): List<RequestId> =
        requests.filterValues { it.ended == null && it.deadline < now && !isExcused(it.entry) }
            .keys.toList()

    fun outcomes(): Map<String, Int> =
        requests.values.mapNotNull { it.ended?.kind }.groupingBy { it }.eachCount()

    private fun end(request: RequestId, observed: ObservedRequest, ending: Ending) {
        if (observed.ended != null) {
            violations += "$request ended twice: ${observed.ended?.kind}, ${ending.kind}"
        }
        observed.ended = ending
    }

    private class ObservedRequest(val entry: HostId, val deadline: Moment) {
        var ran = false
        var ended: Ending? = null
    }

    private data class Ending(val kind: String, val runState: RunState)
}
