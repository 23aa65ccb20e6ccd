/*
 * Short access to fields of JSON.
 */
package org.gypsumroute.systemtest

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject

internal val JsonElement.text: String? get() = (this as? JsonPrimitive)?.contentOrNull

internal fun JsonObject.texts(field: String): String? = this[field]?.text

internal fun JsonObject.objects(field: String): List<JsonObject> =
    (this[field] as? JsonArray).orEmpty().map { it.jsonObject }
