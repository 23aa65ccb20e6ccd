package org.gypsumroute.core.gateway.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.core.gateway.placement.ForwardChoice

class AdmissionPoliciesTest {
    private val decide = AdmissionPolicies.waitUnderShortage
    private val ample =
        ServiceRoom(20, withRoom = 15, Duration.ZERO, openRequests = 20, slots = 160)
    private val scarce = ample.copy(withRoom = 9, meanBacklog = 300.milliseconds)

    private fun inputOf(
        predicted: Duration,
        objective: Duration,
        remaining: Duration = 15.seconds,
        room: ServiceRoom = scarce,
        readers: Int = 17,
        isUrgent: Boolean = false,
        waitingRequests: Int = 0,
        startWithin: Duration? = null,
        entropy: Long = 2
    ) = AdmissionInput(
        choice = ForwardChoice(
            EndpointId("e"),
            (1 until readers).map { EndpointId("h$it") },
            prefillTime = predicted / 2,
            predictedFirstByte = predicted
        ),
        answerTime = 1.seconds,
        room = room,
        objective = objective,
        remaining = remaining,
        startWithin = startWithin,
        isUrgent = isUrgent,
        waitingRequests = waitingRequests,
        entropy = entropy
    )

    /** Guards against a deployment with room that is served otherwise than before. */
    @Test
    fun `while most engines have room every request is sent`() {
        val times = listOf(1.milliseconds, 200.milliseconds, 2.seconds, 20.seconds)
        for (predicted in times) {
            for (objective in times) {
                for (remaining in times) {
                    val input = inputOf(predicted, objective, remaining, ample, waitingRequests = 5)
                    assertEquals(AdmissionDecision.SendNow, decide(input))
                }
            }
        }
    }

    @Test
    fun `a long prompt with slack waits under shortage and an urgent one is sent`() {
        assertIs<AdmissionDecision.Wait>(decide(inputOf(1.seconds, 8.seconds)))
        val urgent = inputOf(100.milliseconds, 259.milliseconds, isUrgent = true)
        assertEquals(AdmissionDecision.SendNow, decide(urgent))
    }

    /** Guards against prompts of medium length that wait although they hardly take any engine. */
    @Test
    fun `a prompt that leaves enough engines with room is sent`() {
        val room = scarce.copy(withRoom = 12)
        val few = inputOf(1.seconds, 8.seconds, room = room, readers = 2)
        assertEquals(AdmissionDecision.SendNow, decide(few))
        assertIs<AdmissionDecision.Wait>(decide(inputOf(1.seconds, 8.seconds, room = room)))
    }

    /** Guards against a long prompt that yields to short ones until it is late. */
    @Test
    fun `a prompt is sent early enough for its objective`() {
        assertEquals(AdmissionDecision.SendNow, decide(inputOf(2.seconds, 3.seconds)))
        val shortly = decide(inputOf(2.seconds, 3135.milliseconds))
        assertEquals(AdmissionDecision.Wait(135.milliseconds, 135.milliseconds), shortly)
    }

    /** Guards against a start that moves on and on while short prompts lengthen the backlog. */
    @Test
    fun `a wait never becomes longer than it was at first`() {
        val input = inputOf(4.seconds, 2.seconds, remaining = 15.seconds)
        assertIs<AdmissionDecision.Wait>(decide(input))
        assertEquals(AdmissionDecision.SendNow, decide(input.copy(startWithin = Duration.ZERO)))
        val last = decide(input.copy(startWithin = 101.milliseconds))
        assertEquals(AdmissionDecision.Wait(101.milliseconds, 101.milliseconds), last)
    }

    /** Guards against a late prompt that takes engines at once although it has lost its value. */
    @Test
    fun `a prompt that misses its objective waits, but is sent early enough for its deadline`() {
        assertIs<AdmissionDecision.Wait>(decide(inputOf(3.seconds, 2.seconds, 10.seconds)))
        val input = inputOf(3.seconds, 2.seconds, 6.seconds)
        assertEquals(AdmissionDecision.SendNow, decide(input))
    }

    @Test
    fun `a request whose deadline cannot be met is refused under shortage`() {
        val used = scarce.copy(openRequests = 80)
        val input = inputOf(14.seconds, 8.seconds, remaining = 10.seconds, room = used)
        val refusal = assertIs<AdmissionDecision.Refuse>(decide(input))
        assertEquals(ErrorKind.DEADLINE_UNREACHABLE, refusal.kind)
        assertEquals(AdmissionDecision.SendNow, decide(input.copy(remaining = 11.seconds)))
    }

    /** Guards against refusals while a deployment is mostly idle. */
    @Test
    fun `nothing is refused while fewer than half of the slots are in use and nothing waits`() {
        val input = inputOf(14.seconds, 8.seconds, remaining = 10.seconds)
        assertEquals(AdmissionDecision.SendNow, decide(input))
        assertIs<AdmissionDecision.Refuse>(decide(input.copy(waitingRequests = 1)))
    }

    /** Guards against gateways that all review at the same time and send together. */
    @Test
    fun `times of reviews differ between gateways`() {
        val times = (1L..20L).map { entropy ->
            assertIs<AdmissionDecision.Wait>(
                decide(inputOf(1.seconds, 8.seconds, entropy = entropy))
            )
        }
        assertTrue(times.toSet().size > 15)
        assertTrue(times.all { it.reviewAfter in 100.milliseconds..200.milliseconds })
    }
}
