package org.gypsumroute.core.fuzz

import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.PeerMessage

/** A connection between an entry and an agent; frames of one direction stay in order. */
internal class SimulatedLink(
    val id: ConnectionId,
    val entry: EntryProcess,
    val agent: AgentProcess
) {
    var open = true

    /** A silent direction loses all frames without an error. */
    var silentToAgent = false
    var silentToEntry = false
}

/** A message on a link. */
internal sealed interface SimulatedFrame {
    data class Control(val message: PeerMessage) : SimulatedFrame

    data class Body(val lease: LeaseId) : SimulatedFrame

    data class Resume(val lease: LeaseId) : SimulatedFrame

    data class Answer(val lease: LeaseId, val tokens: Long, val complete: Boolean) :
        SimulatedFrame
}
