package org.gypsumroute.core.leases

/** Progress of a lease as its entry sees it; the ledger tracks what the engine holds. */
enum class LeasePhase {
    /** Waits for capacity. */
    QUEUED,

    /** Capacity is reserved; the entry has not dispatched the work yet. */
    GRANTED,

    /** The entry is sending the prompt. */
    RECEIVING,

    /** The engine or the plain service is working on it. */
    RUNNING,

    /** The engine holds the exported key-value cache of a segment. */
    EXPORTED,

    /** The work is done; the answer is stored so that the entry can resume reading it. */
    ENDED
}
