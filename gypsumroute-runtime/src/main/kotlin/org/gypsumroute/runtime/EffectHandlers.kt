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

/** Hands an event to the control thread; may be called from any thread and never blocks. */
typealias EventSink = (Event) -> Unit

/**
 * Carries out the effects that the runtime does not handle itself; a role leaves out the handlers
 * of effects that its reducers never name. Handlers run on the control
 * thread and return at once; slow work goes to traffic threads, which answer with events.
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
