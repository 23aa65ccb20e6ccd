/*
 * Guards against merged burn rates in which idle entries hide the failures of a busy one, against
 * reports that omit unreachable entries without notice, and against HTML pages that load resources
 * or run text from callers as markup.
 */
package org.gypsumroute.cli.burn

import arrow.core.left
import arrow.core.right
import com.github.ajalt.clikt.testing.test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlinx.serialization.json.Json
import org.gypsumroute.cli.NodePage
import org.junit.jupiter.api.Test

class BurnReportTest {
    @Test
    fun `requests add up and rates are computed from the sums`() {
        val idle = objective(counts(300, good = 1, bad = 0))
        val busy = objective(counts(300, good = 900, bad = 99))
        val merged = mergeBurn(listOf(BurnPage(listOf(idle)), BurnPage(listOf(busy)))).single()
        val window = merged.windows.single()
        assertEquals(901 to 99, window.good.toInt() to window.bad.toInt())
        // 99 of 1000 are bad where 50 of 1000 are allowed.
        assertEquals(1.98, window.burnRate, 1e-9)
    }

    @Test
    fun `objectives stay separate and the strictest share is used if documents differ`() {
        val rows = mergeBurn(
            listOf(
                BurnPage(listOf(objective(counts(300, 9, 1)), objective(counts(300, 1, 0), "b"))),
                BurnPage(listOf(objective(counts(300, 9, 1)).copy(objectiveShare = 0.99)))
            )
        )
        assertEquals(listOf("a", "b"), rows.map { it.organisation })
        assertEquals(0.99, rows[0].objectiveShare)
        assertEquals(10.0, rows[0].windows.single().burnRate, 1e-6)
        assertEquals(emptyList<BurnObjective>(), mergeBurn(emptyList()))
    }

    @Test
    fun `the order of entries does not change the result`() {
        val pages = (1L..6L).map { n ->
            BurnPage(
                listOf(
                    objective(counts(300, n, 1), "o${n % 2}"),
                    objective(counts(3600, n, n), "o${n % 3}")
                )
            )
        }
        assertEquals(mergeBurn(pages), mergeBurn(pages.reversed()))
    }

    @Test
    fun `an alert needs two windows with a high rate`() {
        fun alert(vararg rates: Double) = BurnAlert.of(rates.map { BurnCounts(1, 1, 1, it) })
        assertEquals(BurnAlert.FAST, alert(15.0, 15.0, 1.0))
        assertEquals(BurnAlert.SLOW, alert(0.0, 7.0, 7.0))
        assertEquals(BurnAlert.NONE, alert(20.0, 1.0, 1.0))
        assertEquals(BurnAlert.NONE, alert())
    }

    @Test
    fun `every format names the unreachable entries and ends with exit code 3`() {
        for (format in listOf("text", "json", "html")) {
            val result = BurnCommand(
                { node, _ ->
                    if (node.endsWith(":2")) "no route".left() else NodePage(200, PAGE).right()
                }
            ).test("--node http://e:1,http://e:2 --format $format")
            assertEquals(3, result.statusCode)
            assertContains(result.stdout, "http://e:2", message = format)
            assertContains(result.stdout, "no route", message = format)
            assertContains(result.stderr, "no route", message = format)
        }
    }

    @Test
    fun `an entry with an error status or an unreadable page counts as unreachable`() {
        val pages = mapOf(
            "1" to NodePage(503, PAGE),
            "2" to NodePage(200, "<html>".toByteArray()),
            "3" to NodePage(200, PAGE)
        )
        val result = BurnCommand({ node, _ -> pages.getValue(node.takeLast(1)).right() })
            .test("--node http://e:1 --node http://e:2 --node http://e:3 --format json")
        val report = Json.decodeFromString<BurnReport>(result.stdout)
        assertEquals(listOf("http://e:3"), report.entries)
        assertEquals(setOf("http://e:1", "http://e:2"), report.unreachable.keys)
    }

    @Test
    fun `the page contains a chart, loads no resources and shows markup as text`() {
        val objective = objective(counts(300, 1, 1), "<script>alert(1)</script>")
        val page = burnHtml(BurnReport(listOf("e"), emptyMap(), listOf(objective)), "now")
        assertContains(page, "<svg")
        for (reference in listOf("src=", "href=", "url(", "@import", "<script")) {
            assertFalse(reference in page, reference)
        }
    }

    private fun objective(counts: BurnCounts, organisation: String = "a") =
        BurnObjective("menu-writer", "short", organisation, "patan", 0.95, listOf(counts))

    private fun counts(seconds: Long, good: Long, bad: Long) = BurnCounts(seconds, good, bad, 0.0)

    private companion object {
        val PAGE = """{"objectives":[{"service":"s","length_class":null,"organisation":null,
            "data_centre":null,"objective_share":0.95,"windows":[{"window_seconds":300,"good":1,
            "bad":1,"burn_rate":10.0}]}]}""".toByteArray()
    }
}
