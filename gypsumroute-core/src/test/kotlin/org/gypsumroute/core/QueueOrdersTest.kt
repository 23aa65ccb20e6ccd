package org.gypsumroute.core

import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.Tokens
import org.junit.jupiter.api.Test

/** Guards against short requests behind long ones, starved long ones and greedy organisations. */
class QueueOrdersTest {
    private val classes = testDocument().document.lengthClasses
    private val now = Moment(1_000_000)

    @Test
    fun `a short request passes a long one that came first`() {
        assertEquals(1, shortestClassFirst(question(work(2), work(0))))
        assertEquals(0, oneQueueForAll(question(work(2), work(0))))
    }

    @Test
    fun `within a class the organisation that got least goes first`() {
        val served = mapOf(OrganisationId("a") to 900.0, OrganisationId("b") to 300.0)
        val waiting = listOf(work(0, "a"), work(0, "b"), work(0, "b"))
        assertEquals(1, shortestClassFirst(QueueContext(now, waiting, { true }, served)))
    }

    @Test
    fun `work that does not fit is skipped, but not by the baseline`() {
        val question = question(work(0, neededTokens = 50), work(1), fits = {
            it.neededTokens <
                Tokens(50)
        })
        assertEquals(1, shortestClassFirst(question))
        assertEquals(null, oneQueueForAll(question))
    }

    @Test
    fun `a long request that waited its time goes first`() {
        assertEquals(1, shortestClassFirst(question(work(0), work(2, waited = 241))))
    }

    @Test
    fun `while an aged request does not fit only shorter classes pass it`() {
        val aged = work(1, neededTokens = 50, waited = 21)
        val fits = { work: QueuedWork -> work.neededTokens < Tokens(50) }
        assertEquals(null, shortestClassFirst(question(aged, work(2), work(1), fits = fits)))
        assertEquals(2, shortestClassFirst(question(aged, work(2), work(0), fits = fits)))
    }

    @Test
    fun `nothing passes a request that waited twice its time`() {
        val aged = work(1, neededTokens = 50, waited = 40)
        val fits = { work: QueuedWork -> work.neededTokens < Tokens(50) }
        assertEquals(null, shortestClassFirst(question(aged, work(0), fits = fits)))
    }

    private fun question(vararg work: QueuedWork, fits: (QueuedWork) -> Boolean = { true }) =
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
