package org.gypsumroute.api

/** The kinds of statements that an endpoint may make in an answer. */
enum class StatementKind(val code: String) {
    LOAD("load"),
    LEAVING("leaving"),
    PAUSE("pause")
}
