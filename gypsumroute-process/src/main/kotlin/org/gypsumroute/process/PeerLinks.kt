/*
 * The open connections of a process. Turns received messages into events and executes peer effects.
 */
package org.gypsumroute.process

import arrow.core.Either
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.gypsumroute.api.ConnectionId
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.DocumentDecodeResult
import org.gypsumroute.api.HostId
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.PeerEffect
import org.gypsumroute.api.PeerEvent
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.runtime.EventSink
import org.gypsumroute.wire.DataFrame
import org.gypsumroute.wire.PeerConnection
import org.gypsumroute.wire.PeerReceiver
import org.gypsumroute.wire.PeerTransportError

/**
 * Links a transport with the control thread. [forwardDataFrame] receives data frames, which bypass
 * the control thread, and [decodeDocument] decodes a document that a peer offers.
 */
class PeerLinks(
    private val events: EventSink,
    private val decodeDocument: (DocumentContent) -> DocumentDecodeResult,
    private val forwardDataFrame: (PeerConnection, DataFrame) -> Unit
) : PeerReceiver {
    private val connectionsById = ConcurrentHashMap<ConnectionId, PeerConnection>()
    private val newestByHost = ConcurrentHashMap<HostId, PeerConnection>()

    /** The connection with this id, or null if it is not open. */
    fun connection(id: ConnectionId): PeerConnection? = connectionsById[id]

    /** The newest open connection to a host, or null if there is none. */
    fun connectionTo(host: HostId): PeerConnection? = newestByHost[host]

    override fun onConnected(connection: PeerConnection) {
        connectionsById[connection.id] = connection
        newestByHost[connection.peer.host] = connection
        val peer = connection.peer
        events(
            PeerEvent.Connected(
                peer.host,
                connection.id,
                peer.incarnation,
                peer.role,
                peer.dataCentre
            )
        )
    }

    override fun onControlMessage(connection: PeerConnection, message: PeerMessage) {
        val peer = connection.peer.host
        when (message) {
            is PeerMessage.DocumentOffer ->
                events(PlatformEvent.DocumentRead(peer, decodeDocument(message.content)))

            else -> events(PeerEvent.Received(peer, connection.id, message))
        }
    }

    override fun onDataFrame(connection: PeerConnection, frame: DataFrame) =
        forwardDataFrame(connection, frame)

    override fun onClosed(connection: PeerConnection, cause: String) {
        connectionsById.remove(connection.id)
        newestByHost.remove(connection.peer.host, connection)
        events(PeerEvent.Disconnected(connection.peer.host, connection.id, cause))
    }

    /** Executes an effect. [connect] opens a connection; the transport then calls [onConnected]. */
    fun execute(
        effect: PeerEffect,
        scope: CoroutineScope,
        connect: suspend (HostRecord) -> Either<PeerTransportError, PeerConnection>
    ) {
        when (effect) {
            is PeerEffect.Send -> connectionsById[effect.connection]?.sendControl(effect.message)

            is PeerEffect.Disconnect -> connectionsById[effect.connection]?.close()

            is PeerEffect.Connect -> scope.launch {
                connect(effect.record).onLeft { error ->
                    events(PeerEvent.Disconnected(effect.record.host, null, error.detail))
                }
            }
        }
    }
}
