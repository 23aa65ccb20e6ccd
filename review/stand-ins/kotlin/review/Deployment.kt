/*
 * The published configuration of a small deployment.
 */
package review

/** A route of the configuration. */
class RouteEntry(
    val name: String,
    val prefix: String,
    val kind: String,
    val service: String,
    val timeoutMs: Int,
    val objectiveMs: Int,
    val maxAttempts: Int = 2,
    val more: String = ""
) {
    fun json(): String =
        """{"name":"$name","hostname":"${Caller.HOST_NAME}","prefix":"$prefix","kind":"$kind",""" +
            """"timeout_ms":$timeoutMs,"target_latency_ms":$objectiveMs,"priority":1,""" +
            """"service":"$service","max_attempts":$maxAttempts,"public":false,""" +
            """"session_affinity":false$more}"""
}

private fun engineProfile(memory: Int) =
    """"engine":{"slots":11,"kv_tokens":$memory,"kv_token_bytes":327680,"stride":46,
        "models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.007,"context_per_k":0.00254,
        "read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,
        "usual":{"prompt":13252,"answer":1540},"hop_ms":0.1}"""

/** The configuration as the operator writes it. */
fun configuration(
    version: Int,
    routes: List<RouteEntry>,
    services: List<String>,
    engines: Set<String> = emptySet(),
    engineMemory: Int = 450_000,
    keys: List<String> = listOf(Caller.KEY)
): String {
    val serviceList = services.joinToString(",") { name ->
        val engine = if (name in engines) ",${engineProfile(engineMemory)}" else ""
        """{"name":"$name","health_path":"/healthz","max_connections":294,"protocol":"h1",
            "tls":false,"cold_start_s":0.0,"cold_per_s":0.0$engine}"""
    }
    val keyList = keys.joinToString(",") { "\"$it\"" }
    return """{"version":$version,"routes":[${routes.joinToString(",") { it.json() }}],
        "services":[$serviceList],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                  "idle_timeout_ms":15000},
        "tenants":[{"name":"hule930","api_keys":[$keyList],"priority":1}]}"""
}
