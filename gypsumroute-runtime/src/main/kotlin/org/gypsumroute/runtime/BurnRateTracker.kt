/*
 * Service-level burn: how fast the error budget of each objective is used.
 *
 * A first token within its objective counts as good and a later one as bad. A request that ends in
 * an error counts as bad unless the caller caused it; one that fails after its first token is thus
 * counted twice. Calls to plain services have no first token and count as good when they end well.
 */
package org.gypsumroute.runtime

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind

/** Finds the document in force of a service. */
typealias DocumentLookup = (ServiceId) -> ServiceDocument?

/**
 * Keeps burn rates for up to [maxObjectives] subjects; the one unused for longest is dropped first.
 * Fed by the control thread; [report] may be called from any thread.
 */
class BurnRateTracker(timeSource: TimeSource, private val maxObjectives: Int = DEFAULT_SUBJECT_LIMIT) {
    private val origin = timeSource.markNow()
    private val series = object : LinkedHashMap<ObjectiveKey, BurnSeries>(16, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<ObjectiveKey, BurnSeries>): Boolean =
            size > maxObjectives
    }

    /** Takes a first token's time. */
    fun observe(effect: RuntimeEffect.Observe, documents: DocumentLookup) {
        if (effect.metric != Metric.FIRST_TOKEN) return
        val document = effect.labels.service?.let(documents) ?: return
        val lengthClass =
            document.lengthClasses.find { it.name == effect.labels.lengthClass } ?: return
        val good = effect.value.seconds <= lengthClass.firstTokenObjective
        add(effect.labels, lengthClass.objectiveShare, good, times = 1)
    }

    /** Takes the end of requests. */
    fun count(effect: RuntimeEffect.Count, documents: DocumentLookup) {
        if (effect.metric != Metric.REQUESTS) return
        val document = effect.labels.service?.let(documents) ?: return
        val good = isGood(document, errorKinds[effect.labels.outcome]) ?: return
        add(effect.labels, objectiveShareOf(document, effect.labels), good, effect.by)
    }

    /** The burn rates of all subjects. */
    @Synchronized
    fun report(): List<ObjectiveBurnRates> {
        val now = origin.elapsedNow()
        return series.map { (objective, kept) -> kept.report(objective, now) }
    }

    @Synchronized
    private fun add(labels: MetricLabels, objectiveShare: Double, good: Boolean, times: Long) {
        val service = labels.service ?: return
        val objective =
            ObjectiveKey(service, labels.lengthClass, labels.organisation, labels.dataCentre)
        val kept = series.getOrPut(objective) { BurnSeries() }
        kept.objectiveShare = objectiveShare
        val now = origin.elapsedNow()
        for (ring in kept.rings) ring.add(now, good, times)
    }

    /** Null if the end of a request says nothing about the service. */
    private fun isGood(document: ServiceDocument, error: ErrorKind?): Boolean? = when {
        error == null && document.kind == ServiceKind.PLAIN -> true
        error == null || isCallerFault(error) -> null
        else -> false
    }

    private fun isCallerFault(kind: ErrorKind): Boolean = when (kind) {
        // Conflict is the fitting status, yet the service lost track of the action.
        ErrorKind.ACTION_OUTCOME_UNKNOWN -> false

        ErrorKind.READER_TOO_SLOW -> true

        else -> kind.httpStatus in CALLER_FAULT_STATUS
    }

    /** The strictest share of the service where a request has no length class. */
    private fun objectiveShareOf(document: ServiceDocument, labels: MetricLabels): Double =
        document.lengthClasses.find { it.name == labels.lengthClass }?.objectiveShare
            ?: document.lengthClasses.maxOfOrNull { it.objectiveShare }
            ?: DEFAULT_OBJECTIVE_SHARE

    private class BurnSeries {
        val rings = listOf(
            SlidingWindowCounter(5.minutes, buckets = 10),
            SlidingWindowCounter(1.hours, buckets = 12),
            SlidingWindowCounter(6.hours, buckets = 12)
        )
        var objectiveShare = DEFAULT_OBJECTIVE_SHARE

        fun report(objective: ObjectiveKey, now: Duration) = ObjectiveBurnRates(
            objective,
            objectiveShare,
            rings.map { ring ->
                val (good, bad) = ring.counts(now)
                BurnWindow(ring.window, good, bad, burnRate(good, bad, objectiveShare))
            }
        )
    }

    private companion object {
        /** A subject takes about 500 bytes, so that all take at most some 4 MiB. */
        const val DEFAULT_SUBJECT_LIMIT = 8192
        const val LOAD_FACTOR = 0.75f
        const val DEFAULT_OBJECTIVE_SHARE = 0.99
        val CALLER_FAULT_STATUS = 400..499
        val errorKinds = ErrorKind.entries.associateBy { it.code }
    }
}

/** Share of bad requests relative to the share that the objective allows; 0 without requests. */
fun burnRate(good: Long, bad: Long, objectiveShare: Double): Double {
    if (bad == 0L) return 0.0
    val allowed = (1 - objectiveShare).coerceAtLeast(SMALLEST_BUDGET)
    return bad.toDouble() / (good + bad) / allowed
}

/** Keeps the rate finite for an objective of 100 %. */
private const val SMALLEST_BUDGET = 1e-6
