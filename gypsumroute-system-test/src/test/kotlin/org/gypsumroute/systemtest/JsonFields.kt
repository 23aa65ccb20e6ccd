/*
 * Access to the fields of JSON objects.
 */
package org.gypsumroute.systemtest

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject

internal val JsonElement.stringValue: String? get() = (this as? JsonPrimitive)?.contentOrNull

internal fun JsonObject.stringField(field: String): String? = this[field]?.stringValue

internal fun JsonObject.objectArray(field: String): List<JsonObject> =
    (this[field] as? JsonArray).orEmpty().map { it.jsonObject }
