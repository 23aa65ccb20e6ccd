package org.gypsumroute.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.GapTolerance
import org.gypsumroute.api.Moment
import org.gypsumroute.api.Tokens

class EnginePlacementTest {
    private val model = EngineModel(sampleFigures)
    private val shortWriter = GapTolerance(200.milliseconds, 2.0)

    private fun engine(
        id: String,
        load: EngineLoad = EngineLoad(),
        backlog: Duration = Duration.ZERO,
        failureShare: Double = 0.0
    ) = ForwardCandidate(
        endpointOf(id, service = modelService),
        load,
        Backlog(total = backlog, help = backlog),
        failureShare
    )

    private fun busy(decodingRequests: Int) = EngineLoad(
        openRequests = decodingRequests,
        decodingRequests = decodingRequests,
        context = decodingRequests * 6000L,
        gapTolerances = listOf(shortWriter.copy(value = 2.0 * decodingRequests))
    )

    private fun place(
        candidates: List<ForwardCandidate>,
        prompt: Long,
        objective: Duration = 300.milliseconds,
        gap: Duration = 200.milliseconds
    ): ForwardChoice? = ForwardPlacements.leastLoss(
        ForwardQuestion(
            candidates = candidates,
            figures = sampleFigures,
            size = RequestSize(prompt, 1500),
            objective = objective,
            remaining = 10.seconds,
            gap = gap,
            ownDataCentre = homeDataCentre,
            entropy = 0
        )
    )

    private fun placeLong(candidates: List<ForwardCandidate>, prompt: Long = 210_000) =
        place(candidates, prompt, objective = 3.seconds, gap = 800.milliseconds)

    @Test
    fun `reading time grows with tokens and their pairs`() {
        assertEquals(20.0, model.readTime(Tokens(5000)).toMilliseconds(), 1.0)
        assertEquals(2842.0, model.readTime(Tokens(210_000)).toMilliseconds(), 10.0)
        assertEquals(44.0, model.passTime(4, 20_000).toMilliseconds(), 3.0)
    }

    /** An engine reads parts for others before its own prompts. */
    @Test
    fun `a backlog shrinks with time and parts for others do not wait for own prompts`() {
        val backlog = Backlog().plus(Moment(0), read = 2.seconds, help = Duration.ZERO)
            .plus(Moment(500), read = Duration.ZERO, help = 1.seconds)
        assertEquals(2500.milliseconds, backlog.total)
        assertEquals(1.seconds, backlog.help)
        assertEquals(1500.milliseconds, backlog.later(Moment(1500)).total)
        assertEquals(Duration.ZERO, backlog.later(Moment(9000)).total)
        assertEquals(1.seconds, backlog.within(1.seconds).total)
    }

    /** Guards against short prompts that wait behind a long one while other engines are free. */
    @Test
    fun `a short prompt avoids an engine that reads a long one`() {
        val reading = engine("a", EngineLoad(openRequests = 1), backlog = 2.seconds)
        val choice = place(listOf(reading, engine("b", busy(6))), 5000)
        assertEquals("b", choice?.endpoint?.value)
    }

    @Test
    fun `a short prompt avoids an engine without a free slot`() {
        val choice = place(listOf(engine("a", busy(11)), engine("b", busy(8))), 5000)
        assertEquals("b", choice?.endpoint?.value)
    }

    /** Guards against long prompts that stretch the pauses of short streams. */
    @Test
    fun `a long prompt goes to engines without short streams`() {
        val engines = listOf(engine("a", busy(5)), engine("b"), engine("c", busy(5)), engine("d"))
        val choice = placeLong(engines)!!
        val used = (choice.helpers + choice.endpoint).map { it.value }.toSet()
        assertTrue(used.intersect(setOf("a", "c")).isEmpty(), "$used")
    }

    @Test
    fun `a prompt that one engine reads too late is read by several`() {
        val choice = placeLong((1..8).map { engine("e$it") }, prompt = 400_000)!!
        assertTrue(choice.helpers.size >= 3, "${choice.helpers}")
        assertTrue(choice.firstByte < 3.seconds, "${choice.firstByte}")
        assertEquals(choice.helpers.size, choice.helpers.toSet().size)
        assertTrue(choice.endpoint !in choice.helpers)
    }

    /** Without messages, gateways must leave the same engines to long prompts. */
    @Test
    fun `short and long prompts start from opposite ends of one order`() {
        val engines = (1..8).map { engine("e$it") }
        val first = place(engines, 5000)!!.endpoint
        val second = place(engines.shuffled(kotlin.random.Random(7)), 5000)!!.endpoint
        assertEquals(first, second)
        assertNotEquals(first, placeLong(engines, prompt = 100_000)!!.endpoint)
    }

    @Test
    fun `short prompts fill an engine but for its last slot`() {
        val engines = (1..4).associate { "e$it" to 0 }.toMutableMap()
        repeat(16) {
            val choice = place(engines.map { engine(it.key, busy(it.value)) }, 5000)!!
            engines.merge(choice.endpoint.value, 1, Int::plus)
        }
        assertTrue(engines.values.max() <= sampleFigures.slots - 1, "$engines")
        assertTrue(engines.values.min() == 0, "$engines")
    }

    @Test
    fun `an endpoint that fails is avoided`() {
        val choice = place(listOf(engine("a", failureShare = 0.5), engine("b", busy(7))), 5000)
        assertEquals("b", choice?.endpoint?.value)
    }

    @Test
    fun `a prompt over one engine's memory reserves the rest at others`() {
        val choice = placeLong((1..4).map { engine("e$it") }, prompt = 900_000)!!
        val reserved = choice.reservations.values.sumOf { it.count }
        assertTrue(reserved >= 900_000 - 450_000, "$reserved")
        assertTrue(choice.reservations.keys.all { it in choice.helpers })
        assertTrue(choice.reservations.values.all { it.count <= 450_000 })
    }

    @Test
    fun `a prompt over the memory of all engines finds no place`() {
        assertEquals(null, placeLong(listOf(engine("a"), engine("b")), prompt = 1_000_000))
    }

    @Test
    fun `no candidates means no place`() {
        assertEquals(null, place(emptyList(), 5000))
    }
}
