package org.gypsumroute.systemtest

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** What callers and operators see of an entry. */
internal class EntryProbe(
    val name: String,
    val dataCentre: String,
    val callersPort: Int,
    val operatorsPort: Int
) {
    private val operators = "http://127.0.0.1:$operatorsPort"
    private val callers = "http://127.0.0.1:$callersPort"

    val isReady: Boolean get() = httpGet("$operators/ready").status == 200

    val status: JsonObject get() = httpGet("$operators/status").json

    /** Hosts of the endpoints that this entry can use now. */
    val accepting: Set<String>
        get() = status.objects("endpoints").filter { it.isAccepting() }
            .mapNotNull { it.texts("host") }.toSet()

    /** The version of a service's document in force, or null. */
    fun documentVersion(service: String): String? = status.objects("documents")
        .firstOrNull { it.texts("service") == service }?.texts("version")

    /** Starts a completion whose answer is streamed. */
    fun stream(
        prompt: String,
        tokens: Int,
        timeout: Duration = 60.seconds,
        requestId: String? = null
    ): StreamingCall = StreamingCall(callers, completionJson(prompt, tokens), timeout, requestId)

    /** A new key for an action. */
    fun actionKey(service: String): String {
        val answer = httpPost("$callers/v1/services/$service/action-keys", headers = headers())
        check(answer.status == 201) { "no action key: ${answer.status} ${answer.body}" }
        return answer.json.texts("action_key")!!
    }

    /** Calls a plain service. */
    fun call(service: String, path: String, body: String, key: String): HttpAnswer = httpPost(
        "$callers/v1/services/$service/calls$path",
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
