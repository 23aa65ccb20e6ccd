package org.gypsumroute.core.gateway.crashes

import kotlin.test.Test
import kotlin.test.assertEquals
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.readyHarness

/** Guards against ends of endpoints that the logs do not connect with the requests on them. */
class CrashLogTest {
    private fun GatewayHarness.lossLogs() = effects.filterIsInstance<RuntimeEffect.Log>()
        .filter { it.event == LogEvent.CONNECTION_LOST }

    @Test
    fun `a lost connection is logged with the parts of the prompt and the requests beside it`() {
        val harness = readyHarness(endpointOf("e1", service = modelService, startStamp = 7))
        val head = headOf("/stream/x", prompt = 1000)
        harness.arrive("beside", head)
        harness.arrive("1", head.copy(promptParts = listOf(PromptPartId(0xa1), PromptPartId(0xb2))))
        harness.endAttempt("1", AttemptOutcome.Lost("connection closed", connectionLost = true))
        val fields = harness.lossLogs().single().fields.associate { it.name to it.value }
        assertEquals("a1 b2", fields["parts"])
        assertEquals("e1", fields["endpoint"])
        assertEquals("7", fields["start"])
        assertEquals("1", fields["open_beside"])
        assertEquals("false", fields["begun"])
    }

    @Test
    fun `an unusable answer is not logged as a lost connection`() {
        val harness = readyHarness(endpointOf("e1", service = modelService))
        harness.arrive("1", headOf("/stream/x", prompt = 1000))
        harness.endAttempt("1", AttemptOutcome.Lost("unsigned answer"))
        assertEquals(emptyList(), harness.lossLogs())
    }
}
