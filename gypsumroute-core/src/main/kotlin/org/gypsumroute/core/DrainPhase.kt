package org.gypsumroute.core

/** Progress of a planned stop. */
enum class DrainPhase {
    SERVING,

    /** New work is refused; running work goes on. */
    DRAINING,

    /** Nothing runs any more; the process exits. */
    FINISHED
}
