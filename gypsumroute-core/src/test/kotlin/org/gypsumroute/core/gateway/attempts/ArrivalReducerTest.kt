package org.gypsumroute.core.gateway.attempts

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.WeightedService
import org.gypsumroute.core.gateway.GatewayHarness
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.headOf
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.plainService
import org.gypsumroute.core.gateway.readyHarness
import org.gypsumroute.core.gateway.records.RouteIndex
import org.gypsumroute.core.gateway.routeOf
import org.gypsumroute.core.gateway.tableOf

class ArrivalReducerTest {
    /** Guards against a restarted gateway that denies requests before it has read the rules. */
    @Test
    fun `without a routing table every request is refused as not ready`() {
        val harness = GatewayHarness().apply { feed(RuntimeEvent.Started) }
        harness.arrive("1")
        assertEquals(ErrorKind.NOT_READY, harness.refusals.single().failure.kind)
    }

    @Test
    fun `an unknown path and an unknown key are refused with different error kinds`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.arrive("1", headOf("/nowhere/x"))
        assertEquals(ErrorKind.ROUTE_UNKNOWN, harness.refusals.single().failure.kind)
        harness.arrive("2", headOf("/plain/x", key = "other"))
        assertEquals(ErrorKind.CREDENTIALS_INVALID, harness.refusals.single().failure.kind)
        harness.arrive("3", headOf("/plain/x", key = null))
        assertEquals(ErrorKind.CREDENTIALS_INVALID, harness.refusals.single().failure.kind)
        harness.arrive("4", headOf("/open/x", key = null))
        assertEquals(1, harness.sends.size)
    }

    @Test
    fun `the longest matching prefix is chosen and host names match in any case`() {
        val table = tableOf(
            1,
            routeOf("/", plainService, Repetition.IDEMPOTENT),
            routeOf("/a/b/", modelService, Repetition.IDEMPOTENT),
            routeOf("/a/", plainService, Repetition.IDEMPOTENT)
        )
        val routes = RouteIndex.of(table)
        assertEquals("/a/b/", routes.find("A.Example", "/a/b/c")?.prefix)
        assertEquals("/a/", routes.find("a.example", "/a/bc")?.prefix)
        assertEquals("/", routes.find("a.example", "/b")?.prefix)
        assertEquals(null, routes.find("b.example", "/a/b/c"))
    }

    @Test
    fun `services of a route get requests in proportion to their weights`() {
        val route = routeOf("/s/", plainService, Repetition.IDEMPOTENT).copy(
            trafficSplit = listOf(
                WeightedService(ServiceId("a"), 90.0),
                WeightedService(ServiceId("b"), 10.0)
            )
        )
        val chosen = (0L until 10_000L).map { chooseService(route, it) }
        val lighter = chosen.count { it == ServiceId("b") }
        assertTrue(lighter in 800..1200, "$lighter of 10,000")
    }

    @Test
    fun `an endpoint gets the shorter of the caller's deadline and the route's timeout`() {
        val harness = readyHarness(endpointOf("e1"))
        harness.arrive("1", headOf("/plain/x", deadline = 5.seconds))
        assertEquals(600.milliseconds, harness.sends.single().target.remaining)
        harness.arrive("2", headOf("/plain/x", deadline = 50.milliseconds))
        assertEquals(50.milliseconds, harness.sends.single().target.remaining)
    }

    @Test
    fun `leaving endpoints and data centres taken out get no new requests`() {
        val otherDataCentre = DataCentreId("away")
        val harness = readyHarness(
            endpointOf("e1", leaving = true),
            endpointOf("e2", dataCentre = otherDataCentre)
        )
        harness.arrive("1")
        assertEquals("e2", harness.sends.single().target.endpoint.value)
        harness.feedChanges(PublishedRecord.DataCentreOut(otherDataCentre))
        harness.arrive("2")
        assertEquals(ErrorKind.NO_ENDPOINT, harness.refusals.single().failure.kind)
        harness.feedChanges(PublishedRecord.DataCentreBack(otherDataCentre))
        harness.arrive("3")
        assertEquals("e2", harness.sends.single().target.endpoint.value)
    }

    /**
     * The pattern of all gateways that restart together: each knows nothing of the others' requests
     * and would fill the same engines until it hears of them.
     */
    @Test
    fun `a gateway that just started spreads short prompts over all engines`() {
        val engines = (1..40).map { endpointOf("e$it", service = modelService) }
        val started = readyHarness(*engines.toTypedArray())
        val running = readyHarness(*engines.toTypedArray()).apply { advance(2.seconds) }
        fun GatewayHarness.used() = (1..20).map {
            arrive("$it", headOf("/stream/x", prompt = 5000))
            sends.single().target.endpoint
        }.toSet().size
        val spread = started.used()
        assertTrue(spread >= 12, "$spread")
        assertTrue(running.used() <= spread / 2)
    }

    /** Guards against gateways that together exceed the rate that a cold endpoint can serve. */
    @Test
    fun `a cold endpoint gets at most this gateway's share of its request rate`() {
        val harness =
            readyHarness(endpointOf("e1", service = modelService, coldRemaining = 30.seconds))
        harness.advance(2.seconds)
        val sent = (1..40).count {
            harness.arrive("$it", headOf("/stream/x", prompt = 100))
            harness.sends.isNotEmpty()
        }
        assertEquals(26, sent)
        harness.advance(1100.milliseconds)
        harness.arrive("later", headOf("/stream/x", prompt = 100))
        assertEquals(1, harness.sends.size)
    }
}
