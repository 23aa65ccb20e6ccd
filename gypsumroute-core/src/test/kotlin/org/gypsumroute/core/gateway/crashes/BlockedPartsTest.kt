/*
 * Which requests are refused for a part of their prompt. Guards against sound requests that are
 * refused for what they have in common with the others.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ReservationEffect
import org.gypsumroute.api.ReservationEvent
import org.gypsumroute.core.gateway.headOf

class BlockedPartsTest : PromptCrashFixture() {
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

    /** Two parts that crash endpoints, with the same first part as sound prompts. */
    @Test
    fun `a first part of sound prompts stays allowed while a second crashing part is found`() {
        val harness = engines()
        harness.serve(shared, subject)
        repeat(2) {
            harness.crash(shared, subject, crashing)
            harness.serve(shared)
        }
        assertFalse(harness.serve(shared, subject, crashing))
        harness.crash(shared, subject, otherCrashing)
        assertTrue(harness.serve(shared, subject))
    }

    /** Its first part was lost with it each time, and would account for all its losses. */
    @Test
    fun `a crashing part is refused also behind another first part`() {
        val harness = engines()
        harness.serve(shared, subject)
        repeat(2) {
            harness.crash(shared, subject, crashing)
            harness.serve(shared)
        }
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
        harness.feedSuspicions(subject to 1..3, crashing to 1..3)
        harness.feedSuspicions(subject to 4..6, otherCrashing to 4..6)
        assertFalse(harness.serve(subject, crashing))
        assertFalse(harness.serve(subject, otherCrashing))
        assertTrue(harness.serve(subject))
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

    /** Its end would not tell which of the two parts was the cause. */
    @Test
    fun `a part is tried by a request without other suspect parts`() {
        val harness = engines()
        harness.feedSuspicions(subject to 1..3, crashing to 4..5)
        harness.advance(6.seconds)
        assertFalse(harness.serve(shared, subject, crashing))
        assertTrue(harness.serve(shared, subject))
    }

    @Test
    fun `parts that are always in requests together are tried together`() {
        val harness = engines()
        harness.feedSuspicions(subject to 1..3, crashing to 1..3)
        harness.advance(6.seconds)
        assertTrue(harness.serve(shared, subject, crashing))
        harness.feedSuspicions(subject to 11..13, crashing to 11..14)
        harness.advance(45.seconds)
        assertTrue(harness.serve(shared, subject, crashing))
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
}
