package org.gypsumroute.api

/** Which of the records of a read take the place of those that are served to other gateways. */
enum class KeptRecords {
    /** All of them, and the others are gone. */
    ALL,

    /** All of them except the routing table, whose kept version is the later one. */
    ALL_BUT_TABLE,

    /** Those that the read has; the others stay. */
    CHANGED,

    /** The same except the routing table, whose kept version is the later one. */
    CHANGED_BUT_TABLE,

    /** The routing table; the others stay. */
    TABLE
}
