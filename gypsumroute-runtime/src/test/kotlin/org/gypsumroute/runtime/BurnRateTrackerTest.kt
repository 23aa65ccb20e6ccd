package org.gypsumroute.runtime

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.gypsumroute.api.ActionRule
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DeadlineRule
import org.gypsumroute.api.DocumentVersion
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.GroupRule
import org.gypsumroute.api.LengthClass
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.LimitRule
import org.gypsumroute.api.Metric
import org.gypsumroute.api.MetricLabels
import org.gypsumroute.api.PoolId
import org.gypsumroute.api.RampRule
import org.gypsumroute.api.RetryRule
import org.gypsumroute.api.RuntimeEffect
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Tokens

class BurnRateTrackerTest {
    private val time = TestTimeSource()
    private val tracker = BurnRateTracker(time, maxObjectives = 2)
    private var kind = ServiceKind.GENERATION

    private fun firstToken(seconds: Double, service: String = "s") = tracker.observe(
        RuntimeEffect.Observe(Metric.FIRST_TOKEN, labels(service), seconds),
        ::document
    )

    private fun ended(outcome: String) = tracker.count(
        RuntimeEffect.Count(Metric.REQUESTS, labels("s").copy(outcome = outcome)),
        ::document
    )

    private fun labels(service: String) = MetricLabels(ServiceId(service), LengthClassName("short"))

    private fun windows() = tracker.report().single().windows

    private fun counts() = windows().map { it.good to it.bad }

    @Test
    fun `a late first token raises the burn rate until it leaves each window`() {
        repeat(9) { firstToken(1.0) }
        firstToken(1.1)
        // 10 % of the requests are bad and 5 % are allowed to be, which gives a burn rate of 2.
        for (window in windows()) assertEquals(2.0, window.burnRate, absoluteTolerance = 1e-9)
        time += 6.minutes
        assertEquals(listOf(0L to 0L, 9L to 1L, 9L to 1L), counts())
        assertEquals(0.0, windows().first().burnRate)
        time += 60.minutes
        assertEquals(listOf(0L to 0L, 0L to 0L, 9L to 1L), counts())
        time += 400.minutes
        firstToken(1.0)
        assertEquals(listOf(1L to 0L, 1L to 0L, 1L to 0L), counts())
    }

    @Test
    fun `errors count as bad requests unless the caller caused them`() {
        val counted = ErrorKind.entries.filter {
            ended(it.code)
            val bad = tracker.report().singleOrNull()?.windows?.first()?.bad ?: 0
            time += 10.minutes
            bad > 0
        }
        val expected = ErrorKind.entries.filter {
            it == ErrorKind.ACTION_OUTCOME_UNKNOWN ||
                (it.httpStatus >= 500 && it != ErrorKind.READER_TOO_SLOW)
        }
        assertEquals(expected, counted)
    }

    @Test
    fun `a request that completes counts as good for plain services only`() {
        ended("completed")
        assertEquals(emptyList<ObjectiveBurnRates>(), tracker.report())
        kind = ServiceKind.PLAIN
        ended("completed")
        assertEquals(1L to 0L, counts().first())
    }

    @Test
    fun `beyond the limit the objective that has been unused for longest is dropped`() {
        for (service in listOf("a", "b", "a", "c")) firstToken(1.0, service)
        assertEquals(listOf("a", "c"), tracker.report().map { it.objective.service.value })
    }

    private fun document(service: ServiceId) = ServiceDocument(
        service = service,
        version = DocumentVersion(1),
        kind = kind,
        withdrawn = false,
        pool = PoolId("p"),
        model = null,
        promptLimit = Tokens(1),
        outputLimit = Tokens(1),
        deadline = DeadlineRule(null, 1.seconds),
        lengthClasses = listOf(
            LengthClass(
                LengthClassName("short"),
                Tokens(1),
                0.0,
                1.seconds,
                1.seconds,
                0.95,
                1.seconds
            )
        ),
        organisations = emptyList(),
        dataCentresOut = emptySet(),
        limits = LimitRule(1, 1, Bytes.ZERO),
        ramp = RampRule(1.0, 1, 1.0, 1.0, 1.seconds, 1),
        retry = RetryRule(1, 0.0, 1.seconds, 1.seconds),
        group = GroupRule(1, 1.0, 1.seconds),
        actions = ActionRule(emptyList(), 1)
    )
}
