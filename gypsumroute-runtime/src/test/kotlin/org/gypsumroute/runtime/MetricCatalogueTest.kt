package org.gypsumroute.runtime

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceId

class MetricCatalogueTest {
    private val names = Metric.entries.map { it.prometheusName } +
        RuntimeMetric.entries.map { it.prometheusName }

    @Test
    fun `the documented metrics are exactly those in the code`() {
        val row = Regex("""^\| `(\w+)` \| \w+ \| [^|]+ \|$""")
        val listed = File("../docs/metrics.md").readLines()
            .mapNotNull { row.find(it)?.groupValues?.get(1) }
        assertEquals(names, listed)
    }

    @Test
    fun `every metric is scraped under its own name`() {
        val metrics = NodeMetrics().also { it.registerMailboxGauge { 0 } }
        for (metric in Metric.entries) {
            if (metric.prometheusName.endsWith("_total")) {
                metrics.count(RuntimeEffect.Count(metric, MetricLabels(ServiceId("s"))))
            } else {
                metrics.observe(RuntimeEffect.Observe(metric, MetricLabels(ServiceId("s")), 0.5))
            }
        }
        val scraped = metrics.scrape()
        for (name in names) assertTrue(Regex("(?m)^# TYPE $name ").containsMatchIn(scraped), name)
        assertTrue("le=\"0.001\"" in scraped && "le=\"1000.0\"" in scraped, "buckets")
        assertTrue("jvm_memory_used_bytes" in scraped)
    }

    @Test
    fun `organisations beyond the limit of series are counted as other`() {
        val metrics = NodeMetrics(maxSeries = 2)
        repeat(5) {
            val labels = MetricLabels(organisation = OrganisationId("o$it"))
            metrics.count(RuntimeEffect.Count(Metric.REQUESTS, labels))
        }
        val line = metrics.scrape().lines().single { "organisation=\"other\"" in it }
        assertTrue(line.endsWith(" 3.0"), line)
    }
}
