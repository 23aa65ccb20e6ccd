package org.gypsumroute.core.drain

/** Progress of a drain, the planned stop of a process. */
enum class DrainPhase {
    SERVING,

    /** New work is refused; running work continues. */
    DRAINING,

    /** All work has ended; the process exits. */
    FINISHED
}
