package org.gypsumroute.api

/** Why the era that an answer of the store states cannot be used. */
enum class EraProblem(val code: String) {
    /** The answer states no era, although an earlier one did. */
    MISSING("missing"),

    /** The answer states an era that is not a positive number. */
    UNREADABLE("unreadable"),

    /** The read began when a later era was known already. */
    FALLEN("fallen")
}
