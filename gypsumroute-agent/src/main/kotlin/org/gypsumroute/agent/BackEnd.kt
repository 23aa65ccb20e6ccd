package org.gypsumroute.agent

/** What an agent stands beside; URLs have the form `http://address:port`. */
sealed interface BackEnd {
    /** A model engine. */
    data class Engine(val url: String) : BackEnd

    /** A plain service. */
    data class PlainService(val url: String) : BackEnd
}
