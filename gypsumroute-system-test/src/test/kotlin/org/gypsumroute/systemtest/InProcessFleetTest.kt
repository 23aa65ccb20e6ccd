/*
 * Guards the complete path of a request in one JVM: HTTP, reducers, peer protocol, engine and plain
 * service, and the drain at the end.
 */
package org.gypsumroute.systemtest

import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import org.junit.jupiter.api.Test

class InProcessFleetTest {
    @Test
    fun `a short prompt is answered completely and all processes drain with exit code 0`() =
        InProcessFleet().use { fleet ->
            val body = """{"model":"menu-writer","prompt":"momo","max_tokens":5,"stream":true}"""
            val answer = fleet.post("/v1/completions", body)
            assertEquals(200, answer.status, answer.body)
            val text = TEXT.findAll(answer.body).joinToString("") { it.groupValues[1] }
            assertEquals("t0 t1 t2 t3 t4 ", text)
            assertContains(answer.body, "data: [DONE]")
            assertEquals(listOf(0, 0, 0), fleet.drain())
        }

    @Test
    fun `an action is executed once although it is repeated with its key`() =
        InProcessFleet().use { fleet ->
            val issued = fleet.post("/v1/services/order-desk/action-keys", "")
            assertEquals(201, issued.status, issued.body)
            val key = assertNotNull(KEY.find(issued.body)).groupValues[1]
            val path = "/v1/services/order-desk/calls/print-orders"
            val first = fleet.post(path, ORDER, "Idempotency-Key" to key)
            val second = fleet.post(path, ORDER, "Idempotency-Key" to key)
            assertEquals(200, first.status, first.body)
            assertEquals(first, second)
            assertEquals(1, fleet.plainService.executionCounts[ORDER])
            val withoutKey = fleet.post(path, "other")
            assertContains(withoutKey.body, "\"kind\":\"action_key_missing\"")
            assertEquals(listOf(0, 0, 0), fleet.drain())
        }

    private companion object {
        const val ORDER = "table 7, momo"
        val TEXT = Regex("\"text\":\"([^\"]*)\"")
        val KEY = Regex("\"action_key\":\"([^\"]+)\"")
    }
}
