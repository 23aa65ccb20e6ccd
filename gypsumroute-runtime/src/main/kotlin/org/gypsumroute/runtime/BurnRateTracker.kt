/*
 * Burn rates of service-level objectives: how fast the error budget of each objective is used up.
 *
 * A first token counts as good if it came within its objective and as bad otherwise. A request that
 * ends in an error counts as bad unless the caller caused the error, so a request that fails after
 * its first token is counted twice. Calls to plain services have no first token and count as good
 * if they end without an error.
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

/** Returns the document in force of a service, or null if it has none. */
typealias DocumentLookup = (ServiceId) -> ServiceDocument?

/**
 * Counts the requests of up to [maxObjectives] objectives and computes their burn rates. Beyond
 * that number, the objective that has been unused for longest is dropped. The control thread passes
 * the measurements; [report] may be called from any thread.
 */
class BurnRateTracker(
    timeSource: TimeSource,
    private val maxObjectives: Int = DEFAULT_MAX_OBJECTIVES
) {
    private val origin = timeSource.markNow()
    private val windowsByObjective = object :
        LinkedHashMap<ObjectiveKey, ObjectiveWindows>(16, MAP_LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<ObjectiveKey, ObjectiveWindows>): Boolean =
            size > maxObjectives
    }

    /** Records the time to a first token, in seconds; ignores other metrics. */
    fun observe(effect: RuntimeEffect.Observe, documents: DocumentLookup) {
        if (effect.metric != Metric.FIRST_TOKEN) return
        val document = effect.labels.service?.let(documents) ?: return
        val lengthClass =
            document.lengthClasses.find { it.name == effect.labels.lengthClass } ?: return
        val good = effect.value.seconds <= lengthClass.firstTokenObjective
        add(effect.labels, lengthClass.objectiveShare, good, requests = 1)
    }

    /** Records ends of requests; ignores other metrics. */
    fun count(effect: RuntimeEffect.Count, documents: DocumentLookup) {
        if (effect.metric != Metric.REQUESTS) return
        val document = effect.labels.service?.let(documents) ?: return
        val good = isGood(document, errorKindsByCode[effect.labels.outcome]) ?: return
        add(effect.labels, objectiveShareOf(document, effect.labels), good, effect.by)
    }

    /** Current burn rates of all objectives. */
    @Synchronized
    fun report(): List<ObjectiveBurnRates> {
        val now = origin.elapsedNow()
        return windowsByObjective.map { (objective, windows) -> windows.report(objective, now) }
    }

    @Synchronized
    private fun add(labels: MetricLabels, objectiveShare: Double, good: Boolean, requests: Long) {
        val service = labels.service ?: return
        val objective =
            ObjectiveKey(service, labels.lengthClass, labels.organisation, labels.dataCentre)
        val windows = windowsByObjective.getOrPut(objective) { ObjectiveWindows() }
        windows.objectiveShare = objectiveShare
        val now = origin.elapsedNow()
        for (counter in windows.counters) counter.add(now, good, requests)
    }

    /** Whether a request that ended with [error] counts as good, or null if it is not counted. */
    private fun isGood(document: ServiceDocument, error: ErrorKind?): Boolean? = when {
        error == null && document.kind == ServiceKind.PLAIN -> true
        error == null || isCallerFault(error) -> null
        else -> false
    }

    private fun isCallerFault(kind: ErrorKind): Boolean = when (kind) {
        // The HTTP status is 409 (Conflict), but the service, not the caller, lost the outcome.
        ErrorKind.ACTION_OUTCOME_UNKNOWN -> false

        ErrorKind.READER_TOO_SLOW -> true

        else -> kind.httpStatus in CALLER_FAULT_STATUSES
    }

    /** The share of the request's length class, or the service's strictest if it has none. */
    private fun objectiveShareOf(document: ServiceDocument, labels: MetricLabels): Double =
        document.lengthClasses.find { it.name == labels.lengthClass }?.objectiveShare
            ?: document.lengthClasses.maxOfOrNull { it.objectiveShare }
            ?: DEFAULT_OBJECTIVE_SHARE

    private class ObjectiveWindows {
        val counters = listOf(
            SlidingWindowCounter(5.minutes, bucketCount = 10),
            SlidingWindowCounter(1.hours, bucketCount = 12),
            SlidingWindowCounter(6.hours, bucketCount = 12)
        )
        var objectiveShare = DEFAULT_OBJECTIVE_SHARE

        fun report(objective: ObjectiveKey, now: Duration) = ObjectiveBurnRates(
            objective,
            objectiveShare,
            counters.map { counter ->
                val (good, bad) = counter.counts(now)
                BurnWindow(counter.window, good, bad, burnRate(good, bad, objectiveShare))
            }
        )
    }

    private companion object {
        /** An objective takes about 500 bytes, so all of them take at most about 4 MiB. */
        const val DEFAULT_MAX_OBJECTIVES = 8192
        const val MAP_LOAD_FACTOR = 0.75f
        const val DEFAULT_OBJECTIVE_SHARE = 0.99
        val CALLER_FAULT_STATUSES = 400..499
        val errorKindsByCode = ErrorKind.entries.associateBy { it.code }
    }
}

/** Share of bad requests divided by the share that the objective allows; 0 without bad requests. */
fun burnRate(good: Long, bad: Long, objectiveShare: Double): Double {
    if (bad == 0L) return 0.0
    val allowed = (1 - objectiveShare).coerceAtLeast(MIN_ERROR_BUDGET_SHARE)
    return bad.toDouble() / (good + bad) / allowed
}

/** Lower limit of the error budget, which keeps the burn rate finite for an objective of 100 %. */
private const val MIN_ERROR_BUDGET_SHARE = 1e-6
