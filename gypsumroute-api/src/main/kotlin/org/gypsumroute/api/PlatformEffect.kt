package org.gypsumroute.api

/** Effects on the configuration service and the host list. */
sealed interface PlatformEffect : Effect {
    /** Reads all documents once. */
    data object ReadDocuments : PlatformEffect

    /** Waits for the next change of any document and reports it. Only one watch runs at a time. */
    data object WatchDocuments : PlatformEffect

    /** Reads the host list. If it was read before, waits for its next change. */
    data object ReadHosts : PlatformEffect
}
