/*
 * Stand-in of a plain service. It executes every call that it receives and counts the executions
 * of each body, so that tests can tell whether an action was executed more than once.
 */
package org.gypsumroute.test

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Stand-in of a plain service; each call takes [callTime]. */
class PlainServiceStandIn(port: Int = 0, private val callTime: Duration = 5.milliseconds) :
    AutoCloseable {
    private val countByBody = ConcurrentHashMap<String, Int>()
    private val answersLost = AtomicBoolean()
    private val server = StandInServer(port) {
        routing {
            get("/ledger") { respondJson(call, executionCountsJson()) }
            post("/test/lose-answers") {
                loseAnswers(call.request.queryParameters["lose"] != "false")
                respondJson(call, executionCountsJson())
            }
            route("{path...}") { handle { executeCall(call) } }
        }
    }

    /** Host and port of the service. */
    val address: String get() = server.address

    /** Number of executions by request body. */
    val executionCounts: Map<String, Int> get() = countByBody.toMap()

    /** Sets whether calls are executed but never answered. */
    fun loseAnswers(lose: Boolean) = answersLost.set(lose)

    override fun close() = server.close()

    private suspend fun executeCall(call: ApplicationCall) {
        val body = call.receiveText()
        countByBody.merge(body, 1, Int::plus)
        delay(callTime)
        if (answersLost.get()) awaitCancellation()
        val answer = buildJsonObject {
            put("path", call.request.path())
            put("done", body)
        }
        call.respondText(answer.toString(), ContentType.Application.Json, HttpStatusCode.OK)
    }

    private fun executionCountsJson() = buildJsonObject {
        executionCounts.forEach { (body, count) -> put(body, count) }
    }
}
