/*
 * The state of a process, whatever its role. Only the reducer makes new states, and only the
 * control thread holds the current one.
 */
package org.gypsumroute.core

/** State of one process; entry and agent share [common]. */
sealed interface NodeState {
    val common: CommonState
}
