package org.gypsumroute.api

/** Effects on the configuration service and the host list. */
sealed interface PlatformEffect : Effect {
    /** Reads all documents once. */
    data object ReadDocuments : PlatformEffect

    /** Waits for the next change of any document, then reports it; one call at a time. */
    data object WatchDocuments : PlatformEffect

    /** Reads the host list, waiting for its next change if one was read before. */
    data object ReadHosts : PlatformEffect
}
