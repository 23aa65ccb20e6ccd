/*
 * Parts of prompts under which endpoints end. Guards against requests of one kind that crash one
 * endpoint after the other, and against sound requests that are refused for what others did.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.AttemptOutcome
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.RunState
import org.gypsumroute.core.gateway.attempts.retryAfter
import org.gypsumroute.core.gateway.reportFrom

class CrashReducerTest : PromptCrashFixture() {
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
    fun `an answer that was unusable is not held against a part`() {
        val harness = engines()
        repeat(6) {
            val id = harness.arriveWith(listOf(shared, subject))
            while (harness.isOpen(id)) harness.endAttempt(id, AttemptOutcome.Lost("no answer"))
            harness.serve(shared)
        }
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
