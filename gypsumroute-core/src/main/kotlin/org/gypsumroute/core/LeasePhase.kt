package org.gypsumroute.core

/** How far a lease has come, as its entry sees it; what the engine holds is in the ledger. */
enum class LeasePhase {
    /** Waits for capacity. */
    QUEUED,

    /** Capacity is reserved; the entry has not dispatched the work yet. */
    GRANTED,

    /** The prompt is on its way from the entry. */
    RECEIVING,

    /** The engine or the plain service works on it. */
    RUNNING,

    /** The engine holds the exported key-value cache of a segment. */
    EXPORTED,

    /** The work is done; the answer is kept so that the entry can resume reading it. */
    ENDED
}
