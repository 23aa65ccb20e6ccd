package org.gypsumroute.core.gateway.placement

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.GapTolerance
import org.gypsumroute.api.Moment
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.gateway.endpointOf
import org.gypsumroute.core.gateway.endpoints.Backlog
import org.gypsumroute.core.gateway.homeDataCentre
import org.gypsumroute.core.gateway.modelService
import org.gypsumroute.core.gateway.sampleProfile

class EnginePlacementTest {
    private val model = EngineModel(sampleProfile)
    private val shortStream = GapTolerance(200.milliseconds, 2.0)

    private fun engine(
        id: String,
        load: EngineLoad = EngineLoad(),
        backlog: Duration = Duration.ZERO,
        failureRate: Double = 0.0
    ) = ForwardCandidate(
        endpointOf(id, service = modelService),
        load,
        Backlog(total = backlog, helper = backlog),
        failureRate
    )

    private fun busy(decodingRequests: Int) = EngineLoad(
        openRequests = decodingRequests,
        decodingRequests = decodingRequests,
        context = decodingRequests * 6000L,
        gapTolerances = listOf(shortStream.copy(value = 2.0 * decodingRequests))
    )

    private fun place(
        candidates: List<ForwardCandidate>,
        prompt: Long,
        objective: Duration = 300.milliseconds,
        gap: Duration = 200.milliseconds,
        unreported: Int = 0,
        entropy: Long = 0
    ): ForwardChoice? = ForwardPlacements.leastPredictedLoss(
        ForwardPlacementInput(
            candidates = candidates,
            profile = sampleProfile,
            size = RequestSize(prompt, 1500),
            objective = objective,
            remaining = 10.seconds,
            gapObjective = gap,
            ownDataCentre = homeDataCentre,
            unreportedRequests = unreported,
            entropy = entropy
        )
    )

    private fun placeLong(candidates: List<ForwardCandidate>, prompt: Long = 210_000) =
        place(candidates, prompt, objective = 3.seconds, gap = 800.milliseconds)

    @Test
    fun `reading time grows with the number of tokens and of token pairs`() {
        assertEquals(20.0, model.prefillTime(Tokens(5000)).toMilliseconds(), 1.0)
        assertEquals(2842.0, model.prefillTime(Tokens(210_000)).toMilliseconds(), 10.0)
        assertEquals(44.0, model.passTime(4, 20_000).toMilliseconds(), 3.0)
    }

    /** An engine reads parts as a helper for others before its own prompts. */
    @Test
    fun `a backlog shrinks with time and helper parts do not wait for own prompts`() {
        val backlog = Backlog().plus(Moment(0), ownPrompts = 2.seconds, helperParts = Duration.ZERO)
            .plus(Moment(500), ownPrompts = Duration.ZERO, helperParts = 1.seconds)
        assertEquals(2500.milliseconds, backlog.total)
        assertEquals(1.seconds, backlog.helper)
        assertEquals(1500.milliseconds, backlog.advancedTo(Moment(1500)).total)
        assertEquals(Duration.ZERO, backlog.advancedTo(Moment(9000)).total)
        assertEquals(1.seconds, backlog.cappedAt(1.seconds).total)
    }

    /** Guards against short prompts that wait behind a long prompt while other engines are free. */
    @Test
    fun `a short prompt avoids an engine that reads a long prompt`() {
        val readingEngine = engine("a", EngineLoad(openRequests = 1), backlog = 2.seconds)
        val choice = place(listOf(readingEngine, engine("b", busy(6))), 5000)
        assertEquals("b", choice?.endpoint?.value)
    }

    @Test
    fun `a short prompt avoids an engine without a free slot`() {
        val choice = place(listOf(engine("a", busy(11)), engine("b", busy(8))), 5000)
        assertEquals("b", choice?.endpoint?.value)
    }

    /** Guards against long prompts that lengthen the pauses of streams with short prompts. */
    @Test
    fun `a long prompt goes to engines without short streams`() {
        val engines = listOf(engine("a", busy(5)), engine("b"), engine("c", busy(5)), engine("d"))
        val choice = placeLong(engines)!!
        val used = (choice.helpers + choice.endpoint).map { it.value }.toSet()
        assertTrue(used.intersect(setOf("a", "c")).isEmpty(), "$used")
    }

    @Test
    fun `a prompt that one engine would read too late is read by several`() {
        val choice = placeLong((1..8).map { engine("e$it") }, prompt = 400_000)!!
        assertTrue(choice.helpers.size >= 3, "${choice.helpers}")
        assertTrue(choice.predictedFirstByte < 3.seconds, "${choice.predictedFirstByte}")
        assertEquals(choice.helpers.size, choice.helpers.toSet().size)
        assertTrue(choice.endpoint !in choice.helpers)
    }

    /** Guards against a placement that fails, so that its request never gets an answer. */
    @Test
    fun `a prompt that needs the memory of more engines than a request can name is not placed`() {
        val fullEngine = EngineLoad(context = 400_000)
        val candidates = (1..40).map { engine("e$it", fullEngine) }
        val freeMemory = 450_000 * 95 / 100 - 400_000
        assertNull(placeLong(candidates, prompt = 18L * freeMemory))
        val largest = assertNotNull(placeLong(candidates, prompt = 17L * freeMemory - 1500))
        assertEquals(16, largest.helpers.size)
        assertEquals(16, largest.reservations.size)
    }

    /** Guards against any number and size of engines and prompts with which a placement fails. */
    @Property(tries = 2000)
    fun `a placement names at most sixteen helpers, once each, with the memory it needs`(
        @ForAll seed: Long
    ) {
        val random = Random(seed)
        val mostContext = random.nextLong(1, 450_000)
        val candidates = (1..random.nextInt(1, 60)).map { number ->
            val open = random.nextInt(12)
            val context = mostContext - random.nextLong(mostContext / 10 + 1)
            engine("e$number", EngineLoad(open, decodingRequests = open, context = context))
        }
        val choice = placeLong(candidates, prompt = random.nextLong(3_000_000)) ?: return
        assertTrue(choice.helpers.size <= 16, "${choice.helpers.size} helpers")
        assertEquals((choice.helpers + choice.endpoint).toSet().size, choice.helpers.size + 1)
        assertTrue(choice.helpers.containsAll(choice.reservations.keys))
    }

    /** Gateways must leave the same engines to long prompts without exchanging messages. */
    @Test
    fun `short and long prompts prefer engines from opposite ends of one order`() {
        val engines = (1..8).map { engine("e$it") }
        val first = place(engines, 5000)!!.endpoint
        val second = place(engines.shuffled(Random(7)), 5000)!!.endpoint
        assertEquals(first, second)
        assertNotEquals(first, placeLong(engines, prompt = 100_000)!!.endpoint)
    }

    @Test
    fun `short prompts fill an engine except for its last slot`() {
        val engines = (1..4).associate { "e$it" to 0 }.toMutableMap()
        repeat(16) {
            val choice = place(engines.map { engine(it.key, busy(it.value)) }, 5000)!!
            engines.merge(choice.endpoint.value, 1, Int::plus)
        }
        assertTrue(engines.values.max() <= sampleProfile.slots - 1, "$engines")
        assertTrue(engines.values.min() == 0, "$engines")
    }

    /**
     * The pattern of a burst at many gateways: each places a short prompt before it hears of the
     * others' choices, and all of them would fill the same engine.
     */
    @Test
    fun `requests that are placed without reports of each other spread over as many engines`() {
        val engines = (1..60).map { engine("e$it") }
        val chosen = (1L..30L).map {
            place(engines, 5000, unreported = 8, entropy = it)!!.endpoint
        }
        assertTrue(chosen.toSet().size >= 15, "${chosen.toSet().size}")
        assertTrue(chosen.groupingBy { it }.eachCount().values.max() <= 4, "$chosen")
        val longChosen = (1L..30L)
            .map { place(engines, 100_000, gap = 800.milliseconds, unreported = 4, entropy = it) }
            .map { it!!.endpoint }
        assertTrue(chosen.intersect(longChosen.toSet()).isEmpty())
    }

    @Test
    fun `an endpoint that fails often is avoided`() {
        val choice = place(listOf(engine("a", failureRate = 0.5), engine("b", busy(7))), 5000)
        assertEquals("b", choice?.endpoint?.value)
    }

    @Test
    fun `a prompt that exceeds one engine's memory reserves memory at others`() {
        val choice = placeLong((1..4).map { engine("e$it") }, prompt = 900_000)!!
        val reserved = choice.reservations.values.sumOf { it.count }
        assertTrue(reserved >= 900_000 - 450_000, "$reserved")
        assertTrue(choice.reservations.keys.all { it in choice.helpers })
        assertTrue(choice.reservations.values.all { it.count <= 450_000 })
    }

    @Test
    fun `a prompt that exceeds the memory of all engines is not placed`() {
        assertEquals(null, placeLong(listOf(engine("a"), engine("b")), prompt = 1_000_000))
    }

    @Test
    fun `without candidates there is no choice`() {
        assertEquals(null, place(emptyList(), 5000))
    }
}
