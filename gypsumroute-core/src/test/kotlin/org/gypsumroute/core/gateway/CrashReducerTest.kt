/*
 * Parts of prompts under which endpoints end. Guards against requests of one kind that crash one
 * endpoint after the other, and against sound requests that are refused for what others did.
 */
package org.gypsumroute.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.Failure
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.LogEvent
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.OrganisationKeys
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.PublishedRecord
import org.gypsumroute.api.ReportedLoss
import org.gypsumroute.api.ReportedSuspicion
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.api.RunState
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.RuntimeEvent

class CrashReducerTest {
    private val shared = 1L
    private val subject = 2L
    private val crashing = 3L
    private val lost = AttemptOutcome.Lost("connection closed", connectionLost = true)
    private val completed = AttemptOutcome.Completed(200, Duration.ZERO)
    private var nextRequest = 0
    private var nextSequence = 0L
    private var nextStart = 1L

    private fun engines(count: Int = 30) = GatewayHarness().apply {
        val organisations = listOf("a", "b").map {
            OrganisationKeys(OrganisationId(it), setOf("key-$it"), null)
        }
        feed(RuntimeEvent.Started)
        feedSnapshot(
            sampleTable.copy(organisations = organisations),
            (1..count).map { endpointOf("e$it", service = modelService) }
        )
        advance(11.seconds)
        repeat(20) { serve(shared) }
    }

    private fun GatewayHarness.arriveWith(parts: List<Long>, organisation: String = "a"): String {
        val id = "r${nextRequest++}"
        val head = headOf("/stream/x", key = "key-$organisation", prompt = 1000)
        arrive(id, head.copy(promptParts = parts.map { PromptPartId(it) }))
        return id
    }

    private fun GatewayHarness.isOpen(id: String) = RequestId(id) in state.requests

    /** Sends a request and lets it end with a complete answer; returns whether it was taken. */
    private fun GatewayHarness.serve(vararg parts: Long, organisation: String = "a"): Boolean {
        val id = arriveWith(parts.asList(), organisation)
        if (!isOpen(id)) return false
        advance(50.milliseconds)
        beginStream(id)
        endAttempt(id, completed)
        return true
    }

    /** Sends a request under which each endpoint ends; returns how many that are. */
    private fun GatewayHarness.crash(vararg parts: Long, organisation: String = "a"): Int {
        val id = arriveWith(parts.asList(), organisation)
        var count = 0
        while (isOpen(id)) {
            advance(50.milliseconds)
            val endpoint = state.requests.getValue(RequestId(id)).attempt!!.endpoint
            endAttempt(id, lost)
            val restarted = endpointOf(endpoint.value, modelService, startStamp = ++nextStart)
            feedChanges(PublishedRecord.Endpoint(restarted))
            count++
        }
        return count
    }

    private fun GatewayHarness.failure(): Failure = refusals.single().failure

    /** The incident: each request with the part ended one endpoint or two, without an end. */
    @Test
    fun `no request with a part reaches an endpoint after five ended under it`() {
        val harness = engines()
        var ended = 0
        repeat(20) {
            ended += harness.crash(shared, crashing)
            harness.serve(shared)
            harness.advance(50.milliseconds)
        }
        assertTrue(ended in 3..5, "$ended endpoints ended")
        assertTrue(harness.serve(shared))
    }

    @Test
    fun `a refused request is told the truth and when the part may be tried again`() {
        val harness = engines()
        repeat(3) {
            harness.crash(shared, crashing)
            harness.serve(shared)
        }
        harness.arriveWith(listOf(shared, crashing))
        val failure = harness.failure()
        assertEquals(ErrorKind.PROMPT_PART_BLOCKED, failure.kind)
        assertEquals(503, failure.kind.httpStatus)
        assertEquals(RunState.NOT_RUN, failure.runState)
        assertTrue(assertNotNull(failure.retryAfter) in 1.seconds..40.seconds)
    }

    /** A request that has run must not be told that it has not. */
    @Test
    fun `a request that ended an endpoint gets no further attempt once its part is suspect`() {
        val harness = engines()
        harness.crash(shared, crashing)
        harness.serve(shared)
        harness.serve(shared)
        val id = harness.arriveWith(listOf(shared, crashing))
        harness.advance(50.milliseconds)
        harness.endAttempt(id, lost)
        assertEquals(emptyList(), harness.sends)
        assertEquals(ErrorKind.ENDPOINT_LOST, harness.failure().kind)
        assertEquals(RunState.UNKNOWN, harness.failure().runState)
    }

    @Test
    fun `parts that stand beside the crashing one stay allowed`() {
        val harness = engines()
        repeat(4) {
            harness.crash(shared, subject, crashing)
            harness.serve(shared)
        }
        assertEquals(0, harness.crash(shared, subject, crashing))
        assertTrue(harness.serve(shared, subject))
        assertEquals(0, harness.crash(shared, subject, crashing))
    }

    private fun GatewayHarness.feedSuspicions(vararg startsOfParts: Pair<Long, IntRange>) {
        val suspicions = startsOfParts.map { (part, starts) ->
            ReportedSuspicion(
                listOf(PromptPartId(part)),
                othersServed = 9,
                starts.map { start ->
                    val ago = (500 - 50 * start).milliseconds
                    ReportedLoss(
                        EndpointStart(start),
                        OrganisationDigest(start),
                        ago + 40.milliseconds,
                        ago
                    )
                }
            )
        }
        val event = reportFrom("10.0.0.2", sequence = ++nextSequence)
        feed(event.copy(report = event.report.copy(crashes = CrashReport(suspicions))))
    }

    /** They broke off at the same endpoints, but not at all of them. */
    @Test
    fun `requests that only were at the endpoints that ended stay allowed`() {
        val harness = engines()
        harness.feedSuspicions(subject to 1..3, crashing to 1..3)
        harness.feedSuspicions(crashing to 4..5)
        assertFalse(harness.serve(shared, crashing))
        assertTrue(harness.serve(shared, subject))
    }

    /** Of the endpoint that ended last, the report on the crashing part has not arrived yet. */
    @Test
    fun `a part with one loss more than the crashing one is refused only together with it`() {
        val harness = engines()
        harness.feedSuspicions(subject to 1..4, crashing to 1..3)
        assertFalse(harness.serve(shared, subject, crashing))
        assertTrue(harness.serve(shared, subject))
        assertFalse(harness.serve(shared, crashing))
    }

    @Test
    fun `of two parts with the same losses only requests with both are refused`() {
        val harness = engines()
        harness.feedSuspicions(subject to 1..3, crashing to 1..3)
        assertFalse(harness.serve(shared, subject, crashing))
        assertTrue(harness.serve(shared, subject))
        assertFalse(harness.serve(shared, subject, crashing))
    }

    /** Each of them explains a part of the losses, and none explains all. */
    @Test
    fun `a first part that two crashing parts have in common stays allowed`() {
        val harness = engines()
        val otherCrashing = 4L
        harness.feedSuspicions(subject to 1..3, crashing to 1..3)
        harness.feedSuspicions(subject to 4..6, otherCrashing to 4..6)
        assertFalse(harness.serve(subject, crashing))
        assertFalse(harness.serve(subject, otherCrashing))
        assertTrue(harness.serve(subject))
    }

    /** Their answers did not count, so a part that crashed endpoints was never suspect. */
    @Test
    fun `a part is refused also where other requests have no shared part`() {
        val harness = engines()
        repeat(3) {
            harness.crash(crashing)
            harness.serve()
        }
        assertFalse(harness.serve(crashing))
    }

    /** A crashing prompt never gets that far; its neighbours at the endpoint do. */
    @Test
    fun `requests whose answers were under way are not held responsible`() {
        val harness = engines()
        repeat(5) {
            val id = harness.arriveWith(listOf(shared, subject))
            harness.beginStream(id)
            harness.advance(200.milliseconds)
            harness.endAttempt(id, AttemptOutcome.Broken("connection closed", true))
            harness.serve(shared)
        }
        assertNull(harness.state.crashes.parts[PromptPartId(subject)])
        assertTrue(harness.serve(shared, subject))
    }

    /** For example a power failure: the part is at several endpoints that end together. */
    @Test
    fun `endpoints that end at one time are not held against a part`() {
        val harness = engines()
        val open = (1..6).map { harness.arriveWith(listOf(shared, subject)) }
        harness.advance(50.milliseconds)
        open.forEach { if (harness.isOpen(it)) harness.endAttempt(it, lost) }
        repeat(5) { harness.serve(shared) }
        assertTrue(harness.serve(shared, subject))
    }

    /** For example a gateway without a path to the endpoints: no part is the cause. */
    @Test
    fun `nothing is refused for losses while no other request is served`() {
        val harness = engines()
        repeat(10) {
            harness.crash(shared, subject)
            harness.advance(100.milliseconds)
        }
        assertTrue(harness.serve(shared, subject))
    }

    @Test
    fun `a part is tried again after the block and a complete answer allows it`() {
        val harness = engines()
        repeat(3) {
            harness.crash(shared, subject)
            harness.serve(shared)
            harness.serve(shared)
        }
        assertFalse(harness.serve(shared, subject))
        harness.advance(40.seconds)
        assertTrue(harness.serve(shared, subject))
        assertNull(harness.state.crashes.parts[PromptPartId(subject)])
        assertTrue(harness.serve(shared, subject))
    }

    @Test
    fun `only one request at a time tries a part again and a loss blocks it for longer`() {
        val harness = engines()
        repeat(3) {
            harness.crash(shared, crashing)
            harness.serve(shared)
        }
        harness.advance(40.seconds)
        val trial = harness.arriveWith(listOf(shared, crashing))
        assertEquals(1, harness.sends.size)
        assertFalse(harness.serve(shared, crashing))
        harness.advance(50.milliseconds)
        harness.endAttempt(trial, lost)
        assertFalse(harness.isOpen(trial))
        harness.advance(40.seconds)
        assertFalse(harness.serve(shared, crashing))
    }

    @Test
    fun `a request that waits for reserved memory is refused once its part is suspect`() {
        val harness = engines()
        val head = headOf("/stream/x", key = "key-a", prompt = 900_000, deadline = 10.seconds)
        harness.arrive("1", head.copy(promptParts = listOf(PromptPartId(crashing))))
        val reserved = harness.effects.filterIsInstance<ReservationEffect.Reserve>()
        assertTrue(reserved.isNotEmpty())
        harness.feedSuspicions(crashing to 1..4)
        reserved.forEach { harness.feed(ReservationEvent.Reserved(it.reservation)) }
        assertEquals(emptyList(), harness.sends)
        assertEquals(ErrorKind.PROMPT_PART_BLOCKED, harness.failure().kind)
        val released = harness.effects.filterIsInstance<ReservationEffect.Release>()
        assertEquals(reserved.size, released.size)
    }

    @Test
    fun `a silent attempt is not moved to another endpoint once its part is suspect`() {
        val harness = engines()
        val id = harness.arriveWith(listOf(shared, crashing))
        val attempt = harness.sends.single().attempt
        harness.feedSuspicions(crashing to 1..4)
        harness.feed(ForwardEvent.AttemptStalled(RequestId(id), attempt))
        assertEquals(emptyList(), harness.sends)
        assertTrue(harness.isOpen(id))
    }

    /** A connection may be lost without the end of its endpoint, which then ends later. */
    @Test
    fun `a trial at an endpoint that lost a connection before blocks the part again`() {
        val start = EndpointStart(1)
        val digest = OrganisationDigest(1)
        fun loss(sentAt: Long) = EndpointLoss(start, digest, Moment(sentAt), Moment(sentAt + 50))
        val evidence = PartEvidence(listOf(loss(100)))
        assertEquals(Moment(1050), evidence.plus(loss(1000)).losses.single().lostAt)
        assertEquals(evidence, evidence.plus(loss(90)))
    }

    @Test
    fun `a part is refused only to the organisation whose requests ended endpoints`() {
        val harness = engines()
        repeat(4) {
            harness.crash(shared, subject, organisation = "a")
            harness.serve(shared)
        }
        assertFalse(harness.serve(shared, subject, organisation = "a"))
        assertTrue(harness.serve(shared, subject, organisation = "b"))
    }

    /** Else one organisation could get what another one sends refused. */
    @Test
    fun `a part that an organisation sends with a crashing one of its own stays allowed`() {
        val harness = engines()
        repeat(4) {
            harness.crash(subject, crashing, organisation = "a")
            harness.crash(crashing, organisation = "b")
            harness.serve(shared)
        }
        assertFalse(harness.serve(crashing, organisation = "b"))
        assertTrue(harness.serve(shared, subject, organisation = "b"))
    }

    @Test
    fun `a part is refused to all once requests of two organisations ended endpoints`() {
        val harness = engines()
        repeat(2) {
            harness.crash(shared, crashing, organisation = "a")
            harness.serve(shared)
            harness.crash(shared, crashing, organisation = "b")
            harness.serve(shared)
        }
        assertFalse(harness.serve(crashing, organisation = "a"))
        assertFalse(harness.serve(crashing, organisation = "b"))
    }

    @Test
    fun `an answer that was unusable is not held against a part`() {
        val harness = engines()
        repeat(6) {
            val id = harness.arriveWith(listOf(shared, subject))
            while (harness.isOpen(id)) harness.endAttempt(id, AttemptOutcome.Lost("no answer"))
            harness.serve(shared)
        }
        assertTrue(harness.serve(shared, subject))
    }

    /** Guards against state that grows with the requests, and against floods that hide a part. */
    @Test
    fun `many parts take bounded space and do not displace a part with more losses`() {
        val harness = engines()
        repeat(2) {
            harness.crash(shared, crashing)
            harness.serve(shared)
        }
        repeat(50) { round ->
            val flood = LongArray(300) { 1000L + round * 300 + it }
            harness.crash(*flood, organisation = "b")
        }
        assertTrue(harness.state.crashes.parts.size <= MAX_ENTRIES)
        harness.crash(shared, crashing)
        assertFalse(harness.serve(shared, crashing))
        val report = harness.state.crashes.reportAt(harness.now)
        assertTrue(report.suspicions.size <= 8 && report.clearances.size <= 8)
        assertTrue(report.suspicions.any { PromptPartId(crashing) in it.parts })
    }

    /** Only the first parts of a prompt were looked at, and a later one crashed endpoints on. */
    @Test
    fun `a crashing part is found wherever it stands among many`() {
        val others = LongArray(400) { 1000L + it }
        for (place in listOf(0, 16, 200, 400)) {
            val harness = engines()
            val prompt = (others.take(place) + crashing + others.drop(place)).toLongArray()
            var ended = 0
            repeat(10) {
                ended += harness.crash(*prompt)
                harness.serve(*others)
                harness.serve(shared)
            }
            assertTrue(ended in 3..5, "place $place: $ended endpoints ended")
            assertTrue(harness.serve(*others), "place $place")
        }
    }

    /** A report that names the same few parts each time says nothing of the others. */
    @Test
    fun `parts that do not fit into one report are in the next ones`() {
        val harness = engines()
        val prompt = LongArray(400) { 1000L + it }
        harness.crash(*prompt)
        val reported = (0L until 25).flatMap { turn ->
            harness.state.crashes.reportAt(harness.now, turn).suspicions.flatMap { it.parts }
        }
        assertTrue(reported.toSet().containsAll(prompt.map { PromptPartId(it) }))
    }

    @Test
    fun `what another gateway reports of many parts counts in full`() {
        val harness = engines()
        val parts = (1000L until 1040).map { PromptPartId(it) }
        val losses = (1..6).map {
            ReportedLoss(EndpointStart(it), OrganisationDigest(1), 300.milliseconds, 1.seconds / it)
        }
        val suspicions = parts.map { ReportedSuspicion(listOf(it), othersServed = 0, losses) }
        val event = reportFrom("10.0.0.2")
        harness.feed(event.copy(report = event.report.copy(crashes = CrashReport(suspicions))))
        assertEquals(parts.toSet(), harness.state.crashes.parts.keys)
        assertTrue(harness.state.crashes.parts.values.all { it.losses.size == 6 })
    }

    @Test
    fun `evidence is forgotten with time`() {
        val harness = engines()
        repeat(4) {
            harness.crash(shared, crashing)
            harness.serve(shared)
        }
        assertFalse(harness.serve(shared, crashing))
        harness.advance(21.minutes)
        assertTrue(harness.state.crashes.isEmpty)
    }

    private fun report(from: GatewayHarness, sequence: Long) =
        reportFrom("10.0.0.2", sequence).let {
            ExchangeEvent.ReportReceived(
                it.from,
                it.report.copy(crashes = from.state.crashes.reportAt(from.now))
            )
        }

    @Test
    fun `reported losses count and a reported answer clears the part`() {
        val other = engines()
        val harness = engines()
        repeat(4) {
            other.crash(shared, crashing)
            other.serve(shared)
        }
        harness.feed(report(other, 1))
        assertTrue(
            harness.effects.any {
                it is RuntimeEffect.Log && it.event == LogEvent.PROMPT_PART_BLOCKED
            }
        )
        assertFalse(harness.serve(shared, crashing))
        other.advance(1.minutes)
        other.serve(shared, crashing)
        harness.advance(1.minutes)
        harness.feed(report(other, 2))
        assertEquals(
            CrashReport().suspicions,
            harness.state.crashes.reportAt(harness.now).suspicions
        )
        assertTrue(harness.serve(shared, crashing))
    }

    /** A member that missed the answer goes on reporting the losses that it refuted. */
    @Test
    fun `losses that a complete answer refuted do not come back with a late report`() {
        val other = engines()
        val harness = engines()
        repeat(4) {
            other.crash(shared, subject)
            other.serve(shared)
        }
        harness.feed(report(other, 1))
        harness.advance(1.minutes)
        assertTrue(harness.serve(shared, subject))
        other.advance(1.minutes)
        harness.feed(report(other, 2))
        assertTrue(harness.serve(shared, subject))
    }

    /** Guards against a flood of reports when the endpoints of a plain service fail. */
    @Test
    fun `losses without shared parts are neither kept nor reported early`() {
        val harness = engines()
        repeat(3) { harness.crash() }
        assertTrue(harness.state.crashes.isEmpty)
        assertEquals(0, harness.state.crashes.ownLosses)
    }

    @Test
    fun `a lost endpoint is reported at once`() {
        val harness = engines()
        harness.feed(reportFrom("10.0.0.2"))
        harness.advance(100.milliseconds)
        val id = harness.arriveWith(listOf(shared, crashing))
        harness.advance(60.milliseconds)
        harness.endAttempt(id, lost)
        val reports = harness.effects.filterIsInstance<ExchangeEffect.SendReport>()
        val reported = reports.single().report.crashes.suspicions.flatMap { it.parts }
        assertTrue(PromptPartId(crashing) in reported)
        assertTrue(harness.effects.any { it is ForwardEffect.Send })
    }
}
