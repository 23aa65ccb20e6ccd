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
val shortestClassFirst: QueueOrder = { question -> pickNext(question) }

/** Baseline: strict order of arrival; the first that does not fit holds up the rest. */
val oneQueueForAll: QueueOrder = { question ->
    if (question.waiting.firstOrNull()?.let(question.fits) == true) 0 else null
}

private fun pickNext(question: QueueContext): Int? {
    val waiting = question.waiting
    val (aged, others) = waiting.indices.partition { hasWaited(question, waiting[it], 1) }
    var passing = Tokens(Long.MAX_VALUE)
    for (index in aged.sortedBy { waiting[it].queuedAt + waiting[it].lengthClass.longestWait }) {
        val work = waiting[index]
        val mayPass = work.lengthClass.upTo < passing
        if (mayPass && question.fits(work)) return index
        if (hasWaited(question, work, 2)) return null
        passing = minOf(passing, work.lengthClass.upTo)
    }
    return others
        .filter { waiting[it].lengthClass.upTo < passing }
        .sortedWith(
            compareBy(
                { waiting[it].lengthClass.upTo },
                { question.served[waiting[it].organisation] ?: 0.0 }
            )
        )
        .firstOrNull { question.fits(waiting[it]) }
}

private fun hasWaited(question: QueueContext, work: QueuedWork, times: Int): Boolean =
    question.now - work.queuedAt >= work.lengthClass.longestWait * times
