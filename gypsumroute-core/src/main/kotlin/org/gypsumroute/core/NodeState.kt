/*
 * The state of a process of any role. Only the reducer creates new states, and only the control
 * thread holds the current one.
 */
package org.gypsumroute.core

/** State of one process; [common] is the part that all roles have. */
sealed interface NodeState {
    val common: CommonState
}
