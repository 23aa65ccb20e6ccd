/*
 * Guards against dependencies of the core on the runtime or the HTTP front end, which would prevent
 * embedding it in another program.
 */
package org.gypsumroute.example

import arrow.core.right
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.EndpointSummary
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RegionId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEvent
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.NodeIdentity
import org.gypsumroute.core.Timings
import org.gypsumroute.core.admission.freeMemory
import org.gypsumroute.core.agent
import org.gypsumroute.core.defaultPolicies
import org.gypsumroute.core.failure
import org.gypsumroute.core.peers.expectedWait
import org.gypsumroute.core.summary
import org.gypsumroute.core.testDocument

class LineFrontEndTest {
    private val region = RegionId("bagmati")
    private val dataCentre = DataCentreId("thamel")
    private val identity = NodeIdentity(
        host = HostId("entry-1"),
        incarnation = IncarnationId("entry-1/1"),
        role = NodeRole.ENTRY,
        region = region,
        dataCentre = dataCentre
    )
    private val agent = HostRecord(
        host = HostId("agent-1"),
        role = NodeRole.AGENT,
        region = region,
        dataCentre = dataCentre,
        address = "127.0.0.1",
        port = 1,
        pool = PoolId("menu")
    )
    private val summary = EndpointSummary(
        engineMemory = Tokens(100_000),
        freeMemory = Tokens(100_000),
        warmShare = 1.0,
        runningStreams = 0,
        queued = 0,
        expectedWait = 0.seconds,
        accepting = true
    )
    private val frontEnd = LineFrontEnd(
        EntryState(CommonState(identity, Timings(), defaultPolicies)),
        agent,
        summary
    ) { prompt -> prompt.reversed() }
    private val loop = frontEnd.loop
    private val service = ServiceId("menu-writer")

    @Test
    fun `a line is answered through the reducer and leaves no request or lease behind`() {
        start()
        frontEnd.submit(RequestId("r1"), service, "digest-1", "momo")
        loop.run()
        assertEquals("omom", frontEnd.answers[RequestId("r1")])
        assertTrue((loop.state as EntryState).requests.isEmpty())
        assertTrue((loop.state as EntryState).leases.isEmpty())
    }

    @Test
    fun `a line with an unknown key is refused as not_run`() {
        start()
        frontEnd.submit(RequestId("r1"), service, "unknown-digest", "momo")
        loop.run()
        val failure = frontEnd.refusals.getValue(RequestId("r1"))
        assertEquals(ErrorKind.CREDENTIALS_INVALID, failure.kind)
        assertEquals(RunState.NOT_RUN, failure.runState)
        assertTrue(frontEnd.answers.isEmpty())
    }

    private fun start() {
        loop.offer(RuntimeEvent.Started)
        loop.offer(PlatformEvent.DocumentRead(null, testDocument().right()))
        loop.offer(PlatformEvent.ConfigurationReadEnded(succeeded = true))
        loop.offer(PlatformEvent.HostsRead(listOf(agent)))
        loop.run()
        loop.advance(5.seconds)
    }
}
