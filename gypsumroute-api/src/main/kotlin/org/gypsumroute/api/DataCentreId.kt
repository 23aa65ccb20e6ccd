package org.gypsumroute.api

/** Name of a data centre, such as `thamel`. */
@JvmInline
value class DataCentreId(val value: String) {
    override fun toString(): String = value
}
