package org.gypsumroute.systemtest

import kotlinx.serialization.json.jsonObject

/** Reads the state of an engine stand-in and uses its test controls. */
internal class EngineProbe(val name: String, val port: Int) {
    private val url = "http://127.0.0.1:$port"

    val streams: Set<String> get() = idsIn("streams")
    val handles: Set<String> get() = idsIn("handles")
    val usedTokens: Long get() = state().stringField("used")!!.toLong()
    val collapses: Int get() = state().stringField("collapses")!!.toInt()
    val isEmpty: Boolean
        get() = state().let { state ->
            state["streams"]!!.jsonObject.isEmpty() && state["handles"]!!.jsonObject.isEmpty()
        }

    /** Makes the next [count] streams generate no tokens; -1 means all. */
    fun makeStreamsSilent(count: Int) = post("/test/faults?silent_streams=$count")

    /** Makes the engine cold for its next [tokens] tokens of prefill. */
    fun turnCold(tokens: Long) = post("/test/cold?tokens=$tokens")

    private fun post(path: String) = check(httpPost(url + path).status == 200)

    private fun state() = httpGet("$url/state").json

    private fun idsIn(field: String): Set<String> = state()[field]!!.jsonObject.keys
}
