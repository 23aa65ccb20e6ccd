package org.gypsumroute.process

import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection

/**
 * Handlers that a role adds to [NodeProcess]. [caller] and [engine] execute effects on the control
 * thread; [data] receives data frames. All of them must return at once.
 */
class TrafficHandlers(
    val caller: (CallerEffect) -> Unit = { },
    val engine: (EngineEffect) -> Unit = { },
    val data: (PeerConnection, DataFrame) -> Unit
)
