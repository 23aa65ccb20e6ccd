package org.gypsumroute.systemtest

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** Status and body of an answer. */
internal class HttpAnswer(val status: Int, val body: String) {
    val json: JsonObject get() = Json.parseToJsonElement(body).jsonObject

    /** The field of the error object that an entry answers with. */
    fun error(field: String): String? = json["error"]?.jsonObject?.get(field)?.text
}
