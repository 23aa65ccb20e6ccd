/*
 * What speaks against one part of prompts. Guards against evidence that vanishes or comes into
 * being by the order, the number or the delay of losses.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.ReportedClearance
import org.gypsumroute.api.ReportedLoss
import org.gypsumroute.api.ReportedSuspicion

class PartEvidenceTest {
    private val part = PromptPartId(7)
    private val organisation = OrganisationDigest(1)

    private fun loss(start: Int, sentAt: Duration, lostAt: Duration) = EndpointLoss(
        EndpointStart(start),
        organisation,
        Moment.START + sentAt,
        Moment.START + lostAt
    )

    private fun evidenceOf(losses: List<EndpointLoss>): PartEvidence {
        val first = PartEvidence(losses.take(1), othersServed = ENOUGH_OTHERS_SERVED)
        return losses.drop(1).fold(first) { evidence, loss -> evidence.plus(loss) }
    }

    /** Two losses one after the other, then those of requests that were on their way meanwhile. */
    private val burst = listOf(
        loss(1, 0.seconds, 1.seconds),
        loss(2, 1100.milliseconds, 2.seconds)
    ) + (3..20).map { loss(it, 1200.milliseconds, 2100.milliseconds + it.milliseconds) }

    /** They displaced the earlier losses, and the part was allowed while it crashed endpoints. */
    @Test
    fun `losses of requests that were on their way do not lift a suspicion`() {
        val evidence = evidenceOf(burst)
        assertTrue(evidence.isSuspect)
        assertTrue(evidence.losses.size <= 8)
    }

    @Test
    fun `a report of many losses has those that came one after the other`() {
        val evidence = CrashEvidence().withOwnLosses(burst)
        val report = evidence.reportAt(Moment.START + 3.seconds)
        val heard = CrashEvidence().withReport(report, Moment.START + 3.seconds)
        assertEquals(2, heard.parts.getValue(part).episodes)
    }

    /** A power failure ends several endpoints, and a repeat reaches one that is dead already. */
    @Test
    fun `an attempt that is lost at once does not come after the loss before it`() {
        val evidence = evidenceOf(
            listOf(
                loss(1, 500.milliseconds, 1.seconds),
                loss(2, 600.milliseconds, 1.seconds),
                loss(3, 1.seconds, 1001.milliseconds)
            )
        )
        assertFalse(evidence.isSuspect)
    }

    /** A delayed report shifts the times of its losses, which gateways pass on to each other. */
    @Test
    fun `a late report of a known loss does not move it`() {
        val known = CrashEvidence().withOwnLosses(
            listOf(loss(1, 100.milliseconds, 140.milliseconds))
        )
        val heard = known.withReport(reportOfLoss(), Moment.START + 640.milliseconds)
        val lostAt = heard.parts.getValue(part).losses.single().lostAt
        assertEquals(Moment.START + 140.milliseconds, lostAt)
    }

    @Test
    fun `a late report of a loss from before a complete answer does not count`() {
        val cleared = CrashEvidence().withReport(
            CrashReport(clearances = listOf(ReportedClearance(listOf(part), Duration.ZERO))),
            Moment.START + 200.milliseconds
        )
        val heard = cleared.withReport(reportOfLoss(), Moment.START + 640.milliseconds)
        assertTrue(heard.parts.isEmpty())
    }

    /** A connection may be lost without the end of its endpoint, which then ends later. */
    @Test
    fun `a trial at an endpoint that lost a connection before blocks the part again`() {
        val start = EndpointStart(1)
        val digest = OrganisationDigest(1)
        fun loss(sentAt: Long) = EndpointLoss(start, digest, Moment(sentAt), Moment(sentAt + 50))
        val evidence = PartEvidence(listOf(loss(100)))
        assertEquals(Moment(1050), evidence.plus(loss(1000)).losses.single().lostAt)
        assertEquals(evidence, evidence.plus(loss(90)))
    }

    private fun CrashEvidence.withOwnLosses(losses: List<EndpointLoss>): CrashEvidence =
        losses.fold(this) { evidence, loss -> evidence.withOwnLoss(listOf(part), loss) }

    private fun reportOfLoss(): CrashReport {
        val loss = ReportedLoss(EndpointStart(1), organisation, 40.milliseconds, Duration.ZERO)
        return CrashReport(listOf(ReportedSuspicion(listOf(part), othersServed = 0, listOf(loss))))
    }
}
