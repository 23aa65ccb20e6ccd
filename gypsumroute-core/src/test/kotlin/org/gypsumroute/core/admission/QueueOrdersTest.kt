package org.gypsumroute.core.admission

import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.QueueContext
import org.gypsumroute.core.QueuedWork
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.testDocument
import org.junit.jupiter.api.Test

/** Guards against short requests blocked by long ones, starved long ones, and unfair shares. */
class QueueOrdersTest {
    private val classes = testDocument().document.lengthClasses
    private val now = Moment(1_000_000)

    @Test
    fun `a short request is granted before a long one that arrived first`() {
        assertEquals(1, shortestClassFirst(queueContext(work(2), work(0))))
        assertEquals(0, strictArrivalOrder(queueContext(work(2), work(0))))
    }

    @Test
    fun `within a class the organisation with the least granted work goes first`() {
        val served = mapOf(OrganisationId("a") to 900.0, OrganisationId("b") to 300.0)
        val waiting = listOf(work(0, "a"), work(0, "b"), work(0, "b"))
        assertEquals(1, shortestClassFirst(QueueContext(now, waiting, { true }, served)))
    }

    @Test
    fun `work that does not fit is skipped, but not by the baseline`() {
        val queueContext = queueContext(
            work(0, neededTokens = 50),
            work(1),
            fits = { it.neededTokens < Tokens(50) }
        )
        assertEquals(1, shortestClassFirst(queueContext))
        assertEquals(null, strictArrivalOrder(queueContext))
    }

    @Test
    fun `a long request that has waited its class's longest wait goes first`() {
        assertEquals(1, shortestClassFirst(queueContext(work(0), work(2, waited = 241))))
    }

    @Test
    fun `while an overdue request does not fit, only shorter classes are granted before it`() {
        val overdue = work(1, neededTokens = 50, waited = 21)
        val fits = { work: QueuedWork -> work.neededTokens < Tokens(50) }
        assertEquals(null, shortestClassFirst(queueContext(overdue, work(2), work(1), fits = fits)))
        assertEquals(2, shortestClassFirst(queueContext(overdue, work(2), work(0), fits = fits)))
    }

    @Test
    fun `nothing is granted before a request that has waited twice its longest wait`() {
        val overdue = work(1, neededTokens = 50, waited = 40)
        val fits = { work: QueuedWork -> work.neededTokens < Tokens(50) }
        assertEquals(null, shortestClassFirst(queueContext(overdue, work(0), fits = fits)))
    }

    private fun queueContext(vararg work: QueuedWork, fits: (QueuedWork) -> Boolean = { true }) =
        QueueContext(now, work.toList(), fits, emptyMap())

    private fun work(
        lengthClass: Int,
        organisation: String = "a",
        neededTokens: Long = 10,
        waited: Int = 0
    ) = QueuedWork(
        OrganisationId(organisation),
        classes[lengthClass],
        Tokens(neededTokens),
        Moment(now.milliseconds - waited.seconds.inWholeMilliseconds),
        now + 600.seconds
    )
}
