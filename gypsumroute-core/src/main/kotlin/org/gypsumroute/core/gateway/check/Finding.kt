package org.gypsumroute.core.gateway.check

/** What a check found about a configuration. Only an [ERROR] keeps a part of it from being used. */
enum class FindingKind(val text: String) {
    /** A gateway rejects the configuration, or replaces a figure of it. */
    ERROR("error"),

    /** An entry that no request can ever use. */
    NEVER_MATCHES("never matches"),

    /** Limits of which one makes the other pointless. */
    CONTRADICTION("contradiction"),

    /** A difference from the configuration in force. */
    DIFFERENCE("difference")
}

/** A finding about the entry at [path]. It never holds a key or the digest of one. */
data class Finding(val kind: FindingKind, val path: String, val detail: String) {
    override fun toString(): String = "${kind.text}: $path: $detail"
}
