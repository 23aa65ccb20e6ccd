package org.gypsumroute.api

/** Published name of a route. */
@JvmInline
value class RouteName(val value: String) {
    override fun toString(): String = value
}
