package org.gypsumroute.systemtest

import kotlinx.serialization.json.jsonObject

/** What a test sees of an engine stand-in and does to it. */
internal class EngineProbe(val name: String, val port: Int) {
    private val url = "http://127.0.0.1:$port"

    val streams: Set<String> get() = held("streams")
    val handles: Set<String> get() = held("handles")
    val used: Long get() = state().texts("used")!!.toLong()
    val collapses: Int get() = state().texts("collapses")!!.toInt()
    val isEmpty: Boolean
        get() = state().let { state ->
            state["streams"]!!.jsonObject.isEmpty() && state["handles"]!!.jsonObject.isEmpty()
        }

    /** The next [count] streams never produce anything; -1 means all. */
    fun silenceStreams(count: Int) = post("/test/faults?silent_streams=$count")

    /** The engine is cold for its next [tokens] of prefill. */
    fun turnCold(tokens: Long) = post("/test/cold?tokens=$tokens")

    private fun post(path: String) = check(httpPost(url + path).status == 200)

    private fun state() = httpGet("$url/state").json

    private fun held(field: String): Set<String> = state()[field]!!.jsonObject.keys
}
