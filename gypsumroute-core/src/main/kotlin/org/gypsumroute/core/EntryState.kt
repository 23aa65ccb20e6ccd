package org.gypsumroute.core

/** State of an entry. */
data class EntryState(override val common: CommonState) : NodeState
