package org.gypsumroute.agent

/** What an agent passes work to; URLs have the form `http://address:port`. */
sealed interface BackEnd {
    /** A model engine, which generates text. */
    data class Engine(val url: String) : BackEnd

    /** A plain service, which is called over HTTP and does not generate text. */
    data class PlainService(val url: String) : BackEnd
}
