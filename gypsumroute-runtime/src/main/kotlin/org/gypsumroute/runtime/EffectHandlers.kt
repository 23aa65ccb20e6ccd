package org.gypsumroute.runtime

import org.gypsumroute.api.CallerEffect
import org.gypsumroute.api.EngineEffect
import org.gypsumroute.api.Event
import org.gypsumroute.api.ExchangeEffect
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.PublishedEffect
import org.gypsumroute.api.ReservationEffect

/** Passes an event to the control thread. May be called from any thread and never blocks. */
typealias EventSink = (Event) -> Unit

/**
 * Executes the effects that the runtime does not handle itself. A role omits the handlers of
 * effects that its reducers never return. Handlers run on the control thread and must return at
 * once; they pass slow work to traffic threads, which report its outcome as events.
 */
class EffectHandlers(
    val setReady: (Boolean) -> Unit,
    val exit: (Int) -> Unit,
    val platform: (PlatformEffect) -> Unit = { },
    val peer: (PeerEffect) -> Unit = { },
    val caller: (CallerEffect) -> Unit = { },
    val engine: (EngineEffect) -> Unit = { },
    val published: (PublishedEffect) -> Unit = { },
    val forward: (ForwardEffect) -> Unit = { },
    val exchange: (ExchangeEffect) -> Unit = { },
    val reservation: (ReservationEffect) -> Unit = { }
)
