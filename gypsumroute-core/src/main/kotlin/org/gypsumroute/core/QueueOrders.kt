/*
 * The order in which an endpoint's queued work is granted.
 */
package org.gypsumroute.core

import org.gypsumroute.api.Tokens

/**
 * Shortest class first, and within a class the organisation that got least for its weight.
 *
 * Work that waited its class's longest wait goes ahead of all that has not. While it does not
 * fit, only shorter classes pass it, and nothing once it has waited twice as long, so that
 * capacity has to come free for it.
 */
val shortestClassFirst: QueueOrder = { context -> pickNext(context) }

/** Baseline: strict order of arrival; the first that does not fit holds up the rest. */
val strictArrivalOrder: QueueOrder = { context ->
    if (context.waiting.firstOrNull()?.let(context.fits) == true) 0 else null
}

private fun pickNext(context: QueueQuestion): Int? {
    val waiting = context.waiting
    val (aged, others) = waiting.indices.partition { hasExceededWait(context, waiting[it], 1) }
    var passing = Tokens(Long.MAX_VALUE)
    for (index in aged.sortedBy { waiting[it].queuedAt + waiting[it].lengthClass.longestWait }) {
        val work = waiting[index]
        val mayPass = work.lengthClass.upTo < passing
        if (mayPass && context.fits(work)) return index
        if (hasExceededWait(context, work, 2)) return null
        passing = minOf(passing, work.lengthClass.upTo)
    }
    return others
        .filter { waiting[it].lengthClass.upTo < passing }
        .sortedWith(
            compareBy(
                { waiting[it].lengthClass.upTo },
                { context.served[waiting[it].organisation] ?: 0.0 }
            )
        )
        .firstOrNull { context.fits(waiting[it]) }
}

private fun hasExceededWait(context: QueueQuestion, work: QueuedWork, times: Int): Boolean =
    context.now - work.queuedAt >= work.lengthClass.longestWait * times
