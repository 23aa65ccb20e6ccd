package org.gypsumroute.systemtest

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Calls an entry's callers' port and operators' port. */
internal class EntryProbe(
    val name: String,
    val dataCentre: String,
    val callersPort: Int,
    val operatorsPort: Int
) {
    private val operatorsUrl = "http://127.0.0.1:$operatorsPort"
    private val callersUrl = "http://127.0.0.1:$callersPort"

    val isReady: Boolean get() = httpGet("$operatorsUrl/ready").status == 200

    val status: JsonObject get() = httpGet("$operatorsUrl/status").json

    /** Hosts of the endpoints that are connected to this entry and accept work. */
    val acceptingHosts: Set<String>
        get() = status.objectArray("endpoints").filter { it.isAccepting() }
            .mapNotNull { it.stringField("host") }.toSet()

    /** The version of a service's document that the entry uses, or null without a document. */
    fun documentVersion(service: String): String? = status.objectArray("documents")
        .firstOrNull { it.stringField("service") == service }?.stringField("version")

    /** Sends a completion request whose answer is streamed. */
    fun stream(
        prompt: String,
        tokens: Int,
        timeout: Duration = 60.seconds,
        requestId: String? = null
    ): StreamingCall = StreamingCall(callersUrl, completionJson(prompt, tokens), timeout, requestId)

    /** Requests a new action key. */
    fun actionKey(service: String): String {
        val answer = httpPost("$callersUrl/v1/services/$service/action-keys", headers = headers())
        check(answer.status == 201) { "no action key: ${answer.status} ${answer.body}" }
        return answer.json.stringField("action_key")!!
    }

    /** Calls a plain service with an action key. */
    fun call(service: String, path: String, body: String, key: String): HttpAnswer = httpPost(
        "$callersUrl/v1/services/$service/calls$path",
        body,
        headers() + ("Idempotency-Key" to key)
    )

    private fun headers() =
        mapOf("Authorization" to "Bearer $CALLER_KEY", "X-Request-Timeout" to "20")

    companion object {
        /** The body of a streamed completion. */
        fun completionJson(prompt: String, tokens: Int): String = buildJsonObject {
            put("model", MENU_WRITER)
            put("prompt", prompt)
            put("max_tokens", tokens)
            put("stream", true)
        }.toString()
    }
}
