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
 * Keeps the metrics of one process. At most [seriesLimit] label sets are kept apart; beyond that,
 * organisations are counted together as `other`, so that memory stays bounded.
 */
class NodeMetrics(private val seriesLimit: Int = DEFAULT_SERIES_LIMIT) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val meters = ConcurrentHashMap<Series, Meter>()
    private val controlEvents = runtimeCounter(RuntimeMetric.CONTROL_EVENTS)
    private val controlTime = runtimeCounter(RuntimeMetric.CONTROL_TIME)

    init {
        JvmMemoryMetrics().bindTo(registry)
    }

    /** All metrics in the Prometheus text form. */
    fun scrape(): String = registry.scrape()

    /** Adds to a counter. */
    fun count(effect: RuntimeEffect.Count) {
        val meter = meterOf(effect.metric, effect.labels, ::counter)
        (meter as Counter).increment(effect.by.toDouble())
    }

    /** Records a value in a histogram. */
    fun observe(effect: RuntimeEffect.Observe) {
        val meter = meterOf(effect.metric, effect.labels, ::summary)
        (meter as DistributionSummary).record(effect.value)
    }

    /** Shows a value that is read at each scrape, such as a buffer's size. */
    fun gauge(name: String, description: String, read: () -> Number) {
        Gauge.builder(name, read).description(description).register(registry)
    }

    /** Records one event of the control thread. */
    internal fun controlEvent(took: Duration) {
        controlEvents.increment()
        controlTime.increment(took.inWholeNanoseconds.toDouble())
    }

    internal fun watchMailbox(size: () -> Int) =
        RuntimeMetric.CONTROL_WAITING.run { gauge(prometheusName, description, size) }

    private fun runtimeCounter(metric: RuntimeMetric): Counter =
        Counter.builder(metric.prometheusName).description(metric.description).register(registry)

    private fun meterOf(metric: Metric, labels: MetricLabels, create: (Series) -> Meter): Meter {
        val series = Series(metric, labels)
        meters[series]?.let { return it }
        val kept = if (meters.size < seriesLimit) series else series.withoutOrganisation()
        return meters.computeIfAbsent(kept, create)
    }

    private fun counter(series: Series): Meter = Counter.builder(series.metric.prometheusName)
        .description(series.metric.description)
        .tags(tagsOf(series.labels))
        .register(registry)

    private fun summary(series: Series): Meter =
        DistributionSummary.builder(series.metric.prometheusName)
            .description(series.metric.description)
            .tags(tagsOf(series.labels))
            .serviceLevelObjectives(*buckets)
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
        fun withoutOrganisation() = copy(labels = labels.copy(organisation = others))
    }

    private companion object {
        /** A histogram takes about 2 KiB, so that all series take at most some 10 MiB. */
        const val DEFAULT_SERIES_LIMIT = 5000
        val others = OrganisationId("other")

        /** Upper bounds in seconds, 1 ms to 1000 s. */
        val buckets = doubleArrayOf(
            0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0,
            2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0
        )
    }
}
