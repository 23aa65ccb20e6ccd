/*
 * Cold endpoints that return to a fleet with many gateways, for example a data centre that comes
 * back. Guards against gateways that each keep their share and together overload an endpoint, since
 * all of them send in the same second.
 */
package org.gypsumroute.core.gateway.endpoints

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.Moment
import org.gypsumroute.core.gateway.attempts.send
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.readyHarness

class ColdShareTest {
    private val rate = 14.0

    private fun gateways(count: Int) =
        (1..count).map { EndpointAddress("10.0.${it / 250}.${it % 250}", 7000) }

    private fun shareOf(gateway: EndpointAddress, all: List<EndpointAddress>, endpoint: String) =
        coldShareAmong(gateway, all - gateway, EndpointId(endpoint), rate)

    /** Most sends of all gateways in any second if each sends whenever it may. */
    private fun mostPerSecond(shares: List<Double>): Int {
        val windows = shares.filter { it > 0 }.map { SendWindow() to it }.toMutableList()
        val sentAt = ArrayList<Moment>()
        for (step in 0..STEPS) {
            val now = Moment(step * STEP_MS)
            for ((index, entry) in windows.withIndex()) {
                val (window, share) = entry
                if (!window.allows(now, share)) continue
                windows[index] = window.plusSend(now) to share
                sentAt += now
            }
        }
        return sentAt.maxOf { begin -> sentAt.count { it >= begin && it - begin < 1.seconds } }
    }

    @Test
    fun `the gateways together keep the rate in any second, whatever their number`() {
        for (count in listOf(1, 2, 3, 5, 13, 14, 33, 330)) {
            val all = gateways(count)
            for (endpoint in listOf("e1", "e2", "e3")) {
                val most = mostPerSecond(all.map { shareOf(it, all, endpoint) })
                assertTrue(most <= rate, "$count gateways: $most")
                assertTrue(most >= rate * 0.5, "$count gateways: $most")
            }
        }
    }

    /** After a partition of the gateways, each side uses the endpoint as if it were alone. */
    @Test
    fun `two halves that do not know of each other stay within what the endpoint survives`() {
        val all = gateways(33)
        val halves = listOf(all.take(16), all.drop(16))
        val shares = halves.flatMap { half -> half.map { shareOf(it, half, "e1") } }
        assertTrue(mostPerSecond(shares) <= rate * 1.5 + 5)
    }

    @Test
    fun `different endpoints are used by different gateways`() {
        val all = gateways(33)
        val users = (1..20).map { index -> all.filter { shareOf(it, all, "e$index") > 0 }.toSet() }
        assertEquals(all.toSet(), users.flatten().toSet())
    }

    /** All gateways of a fleet may start in the same moment, and know of none of the others. */
    @Test
    fun `a gateway that just started sends nothing to cold endpoints`() {
        val harness =
            readyHarness(endpointOf("e1", service = modelService, coldRemaining = 30.seconds))
        harness.arrive("1", headOf("/stream/x", prompt = 100))
        assertEquals(emptyList(), harness.sends)
        harness.advance(2.seconds)
        harness.arrive("2", headOf("/stream/x", prompt = 100))
        assertEquals(1, harness.sends.size)
    }

    private companion object {
        const val STEPS = 100
        val STEP_MS = 40.milliseconds.inWholeMilliseconds
    }
}
