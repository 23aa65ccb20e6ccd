/*
 * What gateways of a run send each other: reports, and records that one reads from another.
 */
package org.gypsumroute.core.gateway.records

import kotlin.random.Random
import org.gypsumroute.api.Effect
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ExchangeEvent
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.PublishedEvent
import org.gypsumroute.core.gateway.simulation.SimulatedClock

internal class GatewayExchange(
    private val clock: SimulatedClock,
    private val random: Random,
    private val members: List<StoreReturnMember>,
    private val hop: () -> Double,
    private val feed: (StoreReturnMember, StoreReturnMember.Process, PublishedEvent) -> Unit,
    private val execute: (StoreReturnMember, StoreReturnMember.Process, List<Effect>) -> Unit
) {
    /** Answers with the records that the other gateway keeps, unless the call fails. */
    fun readFromPeer(
        member: StoreReturnMember,
        process: StoreReturnMember.Process,
        effect: PublishedEffect.ReadFromPeer
    ) {
        clock.after(hop()) {
            val peer = members.first { it.address == effect.address }.process
            val event = if (peer == null || random.nextInt(20) == 0) {
                process.peerReadFailed = true
                PublishedEvent.PeerReadFailed(effect.peer, "connect timeout")
            } else {
                PublishedEvent.PeerRecordsRead(
                    effect.peer,
                    peer.servedPosition,
                    peer.served.values.toList(),
                    ItemsRead(peer.served)
                )
            }
            clock.after(deliveryTime()) { feed(member, process, event) }
        }
    }

    /** Delivers a report to the others, late or not at all at times. */
    fun sendReport(
        member: StoreReturnMember,
        sender: StoreReturnMember.Process,
        effect: ExchangeEffect.SendReport
    ) {
        for (target in members.filter { it.address in effect.to && it !== member }) {
            if (random.nextInt(10) == 0) continue
            clock.after(deliveryTime()) {
                target.process?.let { process ->
                    val event = ExchangeEvent.ReportReceived(member.address, effect.report)
                    if (clock.now < process.startedAt + FIRST_REPORTS_MS) {
                        effect.report.tableVersion?.let { process.reportedVersions[sender] = it }
                    }
                    execute(target, process, process.feed(event))
                }
            }
        }
    }

    /** Delay between gateways, which is sometimes long. */
    private fun deliveryTime(): Double =
        if (random.nextInt(20) == 0) random.nextDouble(50.0, MAX_DELIVERY_MS) else hop()

    private companion object {
        const val MAX_DELIVERY_MS = 800.0

        /** Reports that arrive sooner after a start tell which tables the process can read. */
        const val FIRST_REPORTS_MS = 1000.0
    }
}
