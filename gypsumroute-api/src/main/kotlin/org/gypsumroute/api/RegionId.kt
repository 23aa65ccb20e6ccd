package org.gypsumroute.api

/** Name of a region that holds several data centres. */
@JvmInline
value class RegionId(val value: String) {
    override fun toString(): String = value
}
