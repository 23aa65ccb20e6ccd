package org.gypsumroute.process

import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection

/** What a role adds to the common parts of a process; all functions return at once. */
class TrafficHandlers(
    val caller: (CallerEffect) -> Unit = { },
    val engine: (EngineEffect) -> Unit = { },
    val data: (PeerConnection, DataFrame) -> Unit
)
