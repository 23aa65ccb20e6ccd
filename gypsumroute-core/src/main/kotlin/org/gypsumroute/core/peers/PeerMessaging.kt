package org.gypsumroute.core.peers

import org.gypsumroute.api.Effect
import org.gypsumroute.api.HostId
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.core.CommonState

/** Sends a message to a peer on its current connection; null if it has none. */
internal fun sendTo(common: CommonState, peer: HostId, message: PeerMessage): Effect? =
    common.peers[peer]?.connection?.let { PeerEffect.Send(it, message) }

internal fun sendToAll(common: CommonState, message: PeerMessage): List<Effect> =
    common.peers.values.mapNotNull { link ->
        link.connection?.let { PeerEffect.Send(it, message) }
    }
