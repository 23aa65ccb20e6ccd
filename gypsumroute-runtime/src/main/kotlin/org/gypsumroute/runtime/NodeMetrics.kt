package org.gypsumroute.runtime

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.RuntimeEffect

/**
 * The metrics of one process. Once there are [maxSeries] combinations of metric and labels, new
 * ones are counted under the organisation `other`, so that memory stays bounded.
 */
class NodeMetrics(private val maxSeries: Int = DEFAULT_MAX_SERIES) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val meters = ConcurrentHashMap<Series, Meter>()
    private val controlEvents = runtimeCounter(RuntimeMetric.CONTROL_EVENTS)
    private val controlTime = runtimeCounter(RuntimeMetric.CONTROL_TIME)

    init {
        JvmMemoryMetrics().bindTo(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Increments a counter. */
    fun count(effect: RuntimeEffect.Count) {
        val meter = meterOf(effect.metric, effect.labels, ::counter)
        (meter as Counter).increment(effect.by.toDouble())
    }

    /** Records a value in a histogram. */
    fun observe(effect: RuntimeEffect.Observe) {
        val meter = meterOf(effect.metric, effect.labels, ::summary)
        (meter as DistributionSummary).record(effect.value)
    }

    /** Registers a gauge whose value, such as a buffer's size, is [read] at each scrape. */
    fun gauge(name: String, description: String, read: () -> Number) {
        Gauge.builder(name, read).description(description).register(registry)
    }

    /** Records that the control thread processed an event in [duration]. */
    internal fun recordControlEvent(duration: Duration) {
        controlEvents.increment()
        controlTime.increment(duration.inWholeNanoseconds.toDouble())
    }

    internal fun registerMailboxGauge(size: () -> Int) =
        RuntimeMetric.CONTROL_WAITING.run { gauge(prometheusName, description, size) }

    private fun runtimeCounter(metric: RuntimeMetric): Counter =
        Counter.builder(metric.prometheusName).description(metric.description).register(registry)

    private fun meterOf(metric: Metric, labels: MetricLabels, create: (Series) -> Meter): Meter {
        val series = Series(metric, labels)
        meters[series]?.let { return it }
        val registered = if (meters.size < maxSeries) series else series.withoutOrganisation()
        return meters.computeIfAbsent(registered, create)
    }

    private fun counter(series: Series): Meter = Counter.builder(series.metric.prometheusName)
        .description(series.metric.description)
        .tags(tagsOf(series.labels))
        .register(registry)

    private fun summary(series: Series): Meter =
        DistributionSummary.builder(series.metric.prometheusName)
            .description(series.metric.description)
            .tags(tagsOf(series.labels))
            .serviceLevelObjectives(*bucketBoundsSeconds)
            .register(registry)

    private fun tagsOf(labels: MetricLabels): Tags = Tags.of(
        listOf(
            Tag.of("service", labels.service?.value.orEmpty()),
            Tag.of("length_class", labels.lengthClass?.value.orEmpty()),
            Tag.of("organisation", labels.organisation?.value.orEmpty()),
            Tag.of("data_centre", labels.dataCentre?.value.orEmpty()),
            Tag.of("outcome", labels.outcome.orEmpty())
        )
    )

    private data class Series(val metric: Metric, val labels: MetricLabels) {
        fun withoutOrganisation() = copy(labels = labels.copy(organisation = otherOrganisations))
    }

    private companion object {
        /** A histogram takes about 2 KiB, so all series together take at most about 10 MiB. */
        const val DEFAULT_MAX_SERIES = 5000
        val otherOrganisations = OrganisationId("other")

        /** Upper bounds of histogram buckets, from 1 ms to 1000 s. */
        val bucketBoundsSeconds = doubleArrayOf(
            0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0,
            2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0
        )
    }
}
