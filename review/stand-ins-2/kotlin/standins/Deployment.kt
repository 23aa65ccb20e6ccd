/*
 * The configuration that the operator writes.
 */
package standins

internal const val HOST_NAME = "ficu95.example"
internal const val KEY = "n2ctnfzs989anu6wsjnb"
internal const val TENANT = "hule930"

/** The service for orders, whose runners are no engines. */
internal const val ORDER_SERVICE = "wuno96b"

/** The signature of all answers. */
internal const val SIGNATURE =
    "Gypsumroute-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"

/** A route with the fields that the cases vary. */
internal fun route(
    name: String,
    prefix: String,
    kind: String,
    service: String,
    timeoutMs: Int,
    latencyMs: Int,
    maxAttempts: Int,
    resume: Boolean = false
) = """{"name":"$name","hostname":"$HOST_NAME","prefix":"$prefix","kind":"$kind",
    "timeout_ms":$timeoutMs,"target_latency_ms":$latencyMs,"priority":1,"service":"$service",
    "max_attempts":$maxAttempts,"public":false,"session_affinity":$resume,
    "stream_resume":$resume${if (kind == "streaming") ",\"target_gap_ms\":800" else ""}}"""

/** A configuration with these routes and services and one tenant. */
internal fun configuration(version: Int, routes: List<String>, services: List<String>) =
    """{"version":$version,"routes":[${routes.joinToString(",")}],
        "services":[${services.joinToString(",")}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
            "idle_timeout_ms":15000},
        "tenants":[{"name":"$TENANT","api_keys":["$KEY"],"priority":1}]}"""

internal fun plainService(name: String) =
    """{"name":"$name","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,
        "cold_start_s":0.0,"cold_per_s":0.0}"""

internal fun engineService(name: String) =
    """{"name":"$name","health_path":"/healthz","max_connections":294,"protocol":"h1","tls":false,
        "cold_start_s":3.0,"cold_per_s":26.0,"engine":{"slots":11,"kv_tokens":450000,
        "kv_token_bytes":327680,"link_mbps":400000.0,"stride":46,"models":[{"name":"m"}],
        "step_ms":0.925,"per_seq_ms":0.007,"context_per_k":0.00254,"read_per_s":256000.0,
        "pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,
        "loads_at_once":8,"delays":[],"usual":{"prompt":13252,"answer":1540},"hop_ms":0.1}}"""
