package org.gypsumroute.api

/**
 * The undecoded form of the records of one read. Only the source that read them uses it, to serve
 * the records to other gateways once they are in force.
 */
interface ReadItems {
    companion object {
        val NONE: ReadItems = object : ReadItems {}
    }
}
