package org.gypsumroute.core.leases

import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Moment

/**
 * The times at which leases must be checked, earliest first: an immutable leftist heap.
 *
 * A clock reading at which no lease is due costs one comparison. Entries are not removed when a
 * lease ends or is renewed, so the code that takes the first entry must compare it with the lease.
 */
class LeaseDeadlines private constructor(private val root: Node?) {
    constructor() : this(null)

    /** One entry of the heap. */
    data class Entry(val at: Moment, val lease: LeaseId)

    /** The earliest entry. */
    val first: Entry? get() = root?.entry

    /** Adds an entry. */
    fun add(at: Moment, lease: LeaseId): LeaseDeadlines =
        LeaseDeadlines(merge(root, Node(Entry(at, lease), null, null)))

    /** Removes the earliest entry. */
    fun withoutFirst(): LeaseDeadlines = LeaseDeadlines(merge(root?.left, root?.right))

    private class Node(val entry: Entry, val left: Node?, val right: Node?) {
        val rank: Int = 1 + (right?.rank ?: 0)
    }

    private companion object {
        fun merge(one: Node?, other: Node?): Node? {
            if (one == null) return other
            if (other == null) return one
            val (upper, lower) = if (one.entry.at <= other.entry.at) one to other else other to one
            val merged = merge(upper.right, lower)
            val left = upper.left
            return if ((left?.rank ?: 0) >= (merged?.rank ?: 0)) {
                Node(upper.entry, left, merged)
            } else {
                Node(upper.entry, merged, left)
            }
        }
    }
}
