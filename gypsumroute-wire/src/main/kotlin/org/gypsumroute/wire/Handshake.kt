/*
 * The handshake: both sides send a hello with a nonce, then a proof that they know the shared key.
 *
 * The proof covers both nonces and the prover's identity, so it can be neither replayed nor used by
 * another host. It also covers the side of the connection, so that a peer cannot return our own
 * proof to us. The listening side proves itself last and thus reveals nothing to a stranger.
 */
package org.gypsumroute.wire

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.NodeRole

/** Which side of a connection a process is. */
internal enum class HandshakeSide { CONNECTING, LISTENING }

/** Proves this process to peers and checks their proofs; safe to use from several threads. */
internal class Handshake(private val hello: PeerHello, sharedKey: ByteArray) {
    private val key = SecretKeySpec(sharedKey, ALGORITHM)
    private val random = SecureRandom()

    /** Exchanges hellos and proofs; throws if the socket ends. */
    suspend fun perform(channel: FrameChannel, side: HandshakeSide): Either<ProtocolError, PeerHello> =
        when (side) {
            HandshakeSide.CONNECTING -> connect(channel)
            HandshakeSide.LISTENING -> accept(channel)
        }

    private suspend fun connect(channel: FrameChannel): Either<ProtocolError, PeerHello> {
        val own = newHello()
        channel.write(frameOf(FrameKind.HELLO, own))
        return readHello(channel).flatMap { peer ->
            channel.write(proofFrame(own, peer, HandshakeSide.CONNECTING))
            checkProof(channel, own, peer, HandshakeSide.LISTENING)
        }
    }

    private suspend fun accept(channel: FrameChannel): Either<ProtocolError, PeerHello> {
        val own = newHello()
        return readHello(channel).flatMap { peer ->
            channel.write(frameOf(FrameKind.HELLO, own))
            checkProof(channel, own, peer, HandshakeSide.CONNECTING)
                .onRight { channel.write(proofFrame(own, peer, HandshakeSide.LISTENING)) }
        }
    }

    private fun newHello() = HelloRecord(
        host = hello.host.value,
        incarnation = hello.incarnation.value,
        role = roleCodes.getValue(hello.role),
        dataCentre = hello.dataCentre.value,
        nonce = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }
    )

    private suspend fun readHello(channel: FrameChannel): Either<ProtocolError, HelloRecord> =
        channel.read(MAX_HANDSHAKE_BODY_BYTES)
            .flatMap { frame ->
                decodeWith(frame) { kind, body ->
                    if (kind == FrameKind.HELLO) decodeBody<HelloRecord>(body) else null
                }
            }
            .flatMap { record ->
                when {
                    record.nonce.size != NONCE_BYTES -> ProtocolError("wrong nonce size").left()
                    record.role !in roles -> ProtocolError("unknown role ${record.role}").left()
                    else -> record.right()
                }
            }

    private suspend fun checkProof(
        channel: FrameChannel,
        own: HelloRecord,
        peer: HelloRecord,
        peerSide: HandshakeSide
    ): Either<ProtocolError, PeerHello> = channel.read(MAX_HANDSHAKE_BODY_BYTES)
        .flatMap { frame ->
            decodeWith(frame) { kind, body ->
                if (kind == FrameKind.PROOF) decodeBody<ProofRecord>(body) else null
            }
        }
        .flatMap { record ->
            val expected = proofOf(peer, own, peerSide)
            if (MessageDigest.isEqual(expected, record.proof)) {
                peer.toHello().right()
            } else {
                ProtocolError("the peer's proof does not match the shared key").left()
            }
        }

    private fun proofFrame(own: HelloRecord, peer: HelloRecord, side: HandshakeSide) =
        frameOf(FrameKind.PROOF, ProofRecord(proofOf(own, peer, side)))

    private fun proofOf(prover: HelloRecord, other: HelloRecord, side: HandshakeSide): ByteArray {
        val mac = Mac.getInstance(ALGORITHM).apply { init(key) }
        mac.update(PROTOCOL_VERSION)
        mac.update(side.ordinal.toByte())
        mac.update(prover.nonce)
        mac.update(other.nonce)
        mac.update(prover.role.toByte())
        for (text in listOf(prover.host, prover.incarnation, prover.dataCentre)) {
            val bytes = text.encodeToByteArray()
            mac.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
            mac.update(bytes)
        }
        return mac.doFinal()
    }

    private fun HelloRecord.toHello() = PeerHello(
        HostId(host),
        IncarnationId(incarnation),
        roles.getValue(role),
        DataCentreId(dataCentre)
    )

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val NONCE_BYTES = 32
        val roleCodes = mapOf(NodeRole.ENTRY to 0, NodeRole.AGENT to 1)
        val roles = roleCodes.entries.associate { (role, code) -> code to role }
    }
}
