package org.gypsumroute.systemtest

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** Status and body of an HTTP response. */
internal class HttpAnswer(val status: Int, val body: String) {
    val json: JsonObject get() = Json.parseToJsonElement(body).jsonObject

    /** A field of the error object in the body, or null. */
    fun error(field: String): String? = json["error"]?.jsonObject?.get(field)?.stringValue
}
