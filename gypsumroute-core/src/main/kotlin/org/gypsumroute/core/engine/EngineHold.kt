package org.gypsumroute.core.engine

/** What the engine or the plain service holds of the work of a reservation. */
enum class EngineHold {
    /** Nothing: the work is granted but has not been handed over. */
    PLANNED,

    /** A stream, a prefill or a call. */
    OPEN,

    /** A cancelled stream, until the engine confirms that it has ended. */
    CANCELLING,

    /** An exported key-value cache. */
    EXPORTED,

    /** A released key-value cache, until the engine confirms that it is freed. */
    RELEASING
}
