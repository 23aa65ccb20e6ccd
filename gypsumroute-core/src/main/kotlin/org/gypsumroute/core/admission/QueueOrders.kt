/*
 * The order in which an endpoint's queued work is granted.
 */
package org.gypsumroute.core.admission

import org.gypsumroute.api.Tokens
import org.gypsumroute.core.QueueContext
import org.gypsumroute.core.QueueOrder
import org.gypsumroute.core.QueuedWork
import org.gypsumroute.core.peers.lengthClass

/**
 * Grants the shortest length class first, and within a class the organisation with the least
 * granted work for its weight.
 *
 * Work that has waited as long as its class's longest wait goes ahead of all work that has not.
 * While such work does not fit, only work of shorter classes may be granted before it. Once it has
 * waited twice the longest wait, nothing else is granted, so that enough capacity becomes free for
 * it.
 */
val shortestClassFirst: QueueOrder = { context -> nextIndex(context) }

/** Baseline: strict order of arrival. Work that does not fit blocks all work behind it. */
val strictArrivalOrder: QueueOrder = { context ->
    if (context.waiting.firstOrNull()?.let(context.fits) == true) 0 else null
}

private fun nextIndex(context: QueueContext): Int? {
    val waiting = context.waiting
    val (overdue, others) = waiting.indices.partition { hasExceededWait(context, waiting[it], 1) }
    var classLimit = Tokens(Long.MAX_VALUE)
    for (index in overdue.sortedBy { waiting[it].queuedAt + waiting[it].lengthClass.longestWait }) {
        val work = waiting[index]
        val mayPass = work.lengthClass.upTo < classLimit
        if (mayPass && context.fits(work)) return index
        if (hasExceededWait(context, work, 2)) return null
        classLimit = minOf(classLimit, work.lengthClass.upTo)
    }
    return others
        .filter { waiting[it].lengthClass.upTo < classLimit }
        .sortedWith(
            compareBy(
                { waiting[it].lengthClass.upTo },
                { context.served[waiting[it].organisation] ?: 0.0 }
            )
        )
        .firstOrNull { context.fits(waiting[it]) }
}

private fun hasExceededWait(context: QueueContext, work: QueuedWork, times: Int): Boolean =
    context.now - work.queuedAt >= work.lengthClass.longestWait * times
