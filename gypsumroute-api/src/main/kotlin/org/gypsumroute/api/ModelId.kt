package org.gypsumroute.api

/** Name of a model that an engine can load. */
@JvmInline
value class ModelId(val value: String) {
    override fun toString(): String = value
}
