package org.gypsumroute.core

/** What the engine holds of a reservation. */
enum class EngineHold {
    /** Nothing yet: the work was granted but not handed to the engine. */
    PLANNED,

    /** A stream, a prefill or a call. */
    OPEN,

    /** A cancelled stream, until the engine's word that it is gone. */
    CANCELLING,

    /** An exported key-value cache. */
    EXPORTED,

    /** A released key-value cache, until the engine's word that it is gone. */
    RELEASING
}
