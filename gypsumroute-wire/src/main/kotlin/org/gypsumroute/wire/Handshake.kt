/*
 * Mutual authentication of two processes. Both sides send a hello with a nonce, then a proof that
 * they know the shared key: an HMAC.
 *
 * The HMAC covers both nonces and the prover's identity, so a proof can be neither replayed nor
 * used by another host. It also covers the prover's side of the connection, so that a peer cannot
 * reflect a proof to the process that made it. The listening side sends its proof only after it has
 * verified the other one, so a client without the key never receives a proof.
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

/** Side of a connection. The HMAC of a proof contains the ordinal, so the order is fixed. */
internal enum class HandshakeSide { CONNECTING, LISTENING }

/** Authenticates this process to peers and verifies their proofs. Safe for concurrent use. */
internal class Handshake(private val hello: PeerHello, sharedKey: ByteArray) {
    private val key = SecretKeySpec(sharedKey, ALGORITHM)
    private val random = SecureRandom()

    /**
     * Exchanges hellos and proofs and returns the verified peer. Throws if the connection
     * ends.
     */
    suspend fun perform(
        channel: FrameChannel,
        side: HandshakeSide
    ): Either<ProtocolError, PeerHello> = when (side) {
        HandshakeSide.CONNECTING -> connect(channel)
        HandshakeSide.LISTENING -> accept(channel)
    }

    private suspend fun connect(channel: FrameChannel): Either<ProtocolError, PeerHello> {
        val ownHello = newHello()
        channel.write(encodeFrame(FrameKind.HELLO, ownHello))
        return readHello(channel).flatMap { peerHello ->
            channel.write(proofFrame(ownHello, peerHello, HandshakeSide.CONNECTING))
            checkProof(channel, ownHello, peerHello, HandshakeSide.LISTENING)
        }
    }

    private suspend fun accept(channel: FrameChannel): Either<ProtocolError, PeerHello> {
        val ownHello = newHello()
        return readHello(channel).flatMap { peerHello ->
            channel.write(encodeFrame(FrameKind.HELLO, ownHello))
            checkProof(channel, ownHello, peerHello, HandshakeSide.CONNECTING)
                .onRight { channel.write(proofFrame(ownHello, peerHello, HandshakeSide.LISTENING)) }
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

                    record.role !in rolesByCode -> ProtocolError(
                        "unknown role ${record.role}"
                    ).left()

                    else -> record.right()
                }
            }

    private suspend fun checkProof(
        channel: FrameChannel,
        ownHello: HelloRecord,
        peerHello: HelloRecord,
        peerSide: HandshakeSide
    ): Either<ProtocolError, PeerHello> = channel.read(MAX_HANDSHAKE_BODY_BYTES)
        .flatMap { frame ->
            decodeWith(frame) { kind, body ->
                if (kind == FrameKind.PROOF) decodeBody<ProofRecord>(body) else null
            }
        }
        .flatMap { record ->
            val expected = proofOf(peerHello, ownHello, peerSide)
            if (MessageDigest.isEqual(expected, record.proof)) {
                peerHello.toPeerHello().right()
            } else {
                ProtocolError("the peer's proof does not match the shared key").left()
            }
        }

    private fun proofFrame(ownHello: HelloRecord, peerHello: HelloRecord, side: HandshakeSide) =
        encodeFrame(FrameKind.PROOF, ProofRecord(proofOf(ownHello, peerHello, side)))

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

    private fun HelloRecord.toPeerHello() = PeerHello(
        HostId(host),
        IncarnationId(incarnation),
        rolesByCode.getValue(role),
        DataCentreId(dataCentre)
    )

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val NONCE_BYTES = 32
        val roleCodes = mapOf(NodeRole.ENTRY to 0, NodeRole.AGENT to 1)
        val rolesByCode = roleCodes.entries.associate { (role, code) -> code to role }
    }
}
