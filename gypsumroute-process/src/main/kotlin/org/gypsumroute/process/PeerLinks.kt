/*
 * The open connections of a process: turns what arrives into events and sends what effects name.
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
 * Connects a transport with the control thread. [receiveData] takes data frames, which bypass the
 * control thread, and [decode] reads a document that a peer offers.
 */
class PeerLinks(
    private val events: EventSink,
    private val decode: (DocumentContent) -> DocumentDecodeResult,
    private val receiveData: (PeerConnection, DataFrame) -> Unit
) : PeerReceiver {
    private val byId = ConcurrentHashMap<ConnectionId, PeerConnection>()
    private val newest = ConcurrentHashMap<HostId, PeerConnection>()

    /** The connection with this id, if it is still open. */
    fun connection(id: ConnectionId): PeerConnection? = byId[id]

    /** The newest open connection to a host. */
    fun connectionTo(host: HostId): PeerConnection? = newest[host]

    override fun connected(connection: PeerConnection) {
        byId[connection.id] = connection
        newest[connection.peer.host] = connection
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

    override fun control(connection: PeerConnection, message: PeerMessage) {
        val peer = connection.peer.host
        when (message) {
            is PeerMessage.DocumentOffer ->
                events(PlatformEvent.DocumentRead(peer, decode(message.content)))

            else -> events(PeerEvent.Received(peer, connection.id, message))
        }
    }

    override fun data(connection: PeerConnection, frame: DataFrame) = receiveData(connection, frame)

    override fun closed(connection: PeerConnection, cause: String) {
        byId.remove(connection.id)
        newest.remove(connection.peer.host, connection)
        events(PeerEvent.Disconnected(connection.peer.host, connection.id, cause))
    }

    /** Carries out an effect; [connect] opens a connection, which then reports itself. */
    fun execute(
        effect: PeerEffect,
        scope: CoroutineScope,
        connect: suspend (HostRecord) -> Either<PeerTransportError, PeerConnection>
    ) {
        when (effect) {
            is PeerEffect.Send -> byId[effect.connection]?.sendControl(effect.message)

            is PeerEffect.Disconnect -> byId[effect.connection]?.close()

            is PeerEffect.Connect -> scope.launch {
                connect(effect.record).onLeft { refused ->
                    events(PeerEvent.Disconnected(effect.record.host, null, refused.detail))
                }
            }
        }
    }
}
