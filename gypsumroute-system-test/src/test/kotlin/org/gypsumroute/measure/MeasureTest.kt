package org.gypsumroute.measure

import javax.xml.parsers.DocumentBuilderFactory
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.cli.load.planArrivals
import org.junit.jupiter.api.Test

/** Guards against figures, verdicts and charts that are computed or rendered wrongly. */
class MeasureTest {
    @Test
    fun `a percentile is the value that the given share of times does not exceed`() {
        val times = (1..1_000).map { it.milliseconds }.shuffled(kotlin.random.Random(1))
        assertEquals(950.0, percentile(times, 95.0), 1.0)
        assertEquals(500.0, percentile(times, 50.0), 1.0)
        assertTrue(percentile(emptyList(), 95.0).isNaN())
    }

    @Test
    fun `the plan without long prompts keeps the arrivals of all other requests`() {
        val plan =
            planArrivals(loadProfileOf(shortPromptMix, longPromptMix), 100.0, 20.seconds, seed = 5)
        val short = withoutLongPrompts(plan)
        assertTrue(short.size < plan.size && short.none { it.promptTokens > 4_000 })
        assertEquals(plan.filter { it in short }, short)
    }

    @Test
    fun `a goal is missed if its value is above the limit, infinite or missing`() {
        assertFalse(Check("p95", Double.NaN, limit = 2.0).isMet)
        assertFalse(Check("time", Double.POSITIVE_INFINITY, limit = 2.0).isMet)
        assertEquals("missed by 0.50 ms", Check("p95", 2.5, 2.0, "ms").verdict)
        assertEquals("met", Check("p95", 2.0, 2.0, "ms").verdict)
    }

    @Test
    fun `a chart is well-formed XML, shows its highest value and tolerates missing values`() {
        val values = mapOf("a < b" to listOf(3.0, Double.NaN), "c" to listOf(40.0, 110.0))
        val bars = Plot.Bars("bars", "Bars & more", "ms", listOf("x", "y"), values)
        val lines = Plot.Lines(
            "lines",
            "Lines",
            "ms",
            "seconds",
            mapOf("a" to listOf(0.0 to 1.0, 2.0 to 9.0)),
            mapOf("out" to 1.0)
        )
        for (plot in listOf(bars, lines)) {
            val svg = renderSvg(plot)
            val root = DocumentBuilderFactory.newInstance().newDocumentBuilder()
                .parse(svg.byteInputStream()).documentElement
            assertEquals("svg", root.tagName)
            assertFalse("NaN" in svg.replace(">none<", ""))
        }
        assertContains(renderSvg(bars), ">110<")
        assertEquals(200.0, axisMaximum(listOf(110.0, Double.NaN)))
        assertEquals(1.0, axisMaximum(emptyList()))
    }

    @Test
    fun `the page contains command, seed, verdict and figures`() {
        val check = Check("ratio", 1.5, limit = 1.25)
        val figure = Figure("p95", 20.0, baseline = null, unit = "ms")
        val result =
            Measurement(
                "k",
                "Title",
                "goal",
                listOf(check),
                listOf(figure),
                emptyList(),
                emptyList()
            )
        val facts = RunMetadata("bin/measure --seed 3", 3, "10 cores", "now", "none", 1.0)
        val page = renderReport(facts, listOf(result))
        for (part in listOf("bin/measure --seed 3", "missed by 0.25", "| p95 | 20 ms | - |")) {
            assertContains(page, part)
        }
    }
}
