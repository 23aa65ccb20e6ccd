/*
 * An immutable priority queue of request deadlines, implemented as a leftist heap.
 *
 * Reading the earliest deadline costs O(1); adding and removing cost O(log n). The deadline of a
 * request that ends early stays in the queue until it is reached and is then ignored.
 */
package org.gypsumroute.core.requests

import org.gypsumroute.api.Moment
import org.gypsumroute.api.RequestId

/** Request deadlines, earliest first. */
class DeadlineQueue private constructor(private val root: Node?) {
    /** The earliest deadline, or null if there is none. */
    val earliest: Moment? get() = root?.at

    /** The request with the earliest deadline. */
    val first: RequestId? get() = root?.request

    fun add(at: Moment, request: RequestId): DeadlineQueue =
        DeadlineQueue(merge(root, Node(at, request, 1, null, null)))

    fun withoutFirst(): DeadlineQueue =
        if (root == null) this else DeadlineQueue(merge(root.left, root.right))

    private class Node(
        val at: Moment,
        val request: RequestId,
        val rank: Int,
        val left: Node?,
        val right: Node?
    )

    companion object {
        val EMPTY = DeadlineQueue(null)

        private fun merge(one: Node?, other: Node?): Node? = when {
            one == null -> other
            other == null -> one
            one.at <= other.at -> join(one, other)
            else -> join(other, one)
        }

        private fun join(top: Node, below: Node): Node {
            val merged = merge(top.right, below)
            val left = top.left
            val leftRank = left?.rank ?: 0
            val mergedRank = merged?.rank ?: 0
            return if (leftRank >= mergedRank) {
                Node(top.at, top.request, mergedRank + 1, left, merged)
            } else {
                Node(top.at, top.request, leftRank + 1, merged, left)
            }
        }
    }
}
