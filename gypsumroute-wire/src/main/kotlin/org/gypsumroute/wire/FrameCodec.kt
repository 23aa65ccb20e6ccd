/*
 * Frames: a 4-byte length, a version byte, a kind byte and a CBOR body. The length counts all that
 * follows it.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.gypsumroute.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.nio.ByteBuffer
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.gypsumroute.api.PeerMessage

internal val cbor = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = false
    preferCborLabelsOverNames = true
    useDefiniteLengthEncoding = true
}

/** A decoded frame after the handshake. */
internal sealed interface Frame {
    /** A message for the control thread. */
    class Control(val message: PeerMessage) : Frame

    /** Bytes for a traffic thread. */
    class Data(val frame: DataFrame) : Frame
}

internal inline fun <reified T> frameOf(kind: FrameKind, record: T): ByteArray {
    val body = cbor.encodeToByteArray(record)
    require(body.size <= MAX_BODY_BYTES) { "$kind of ${body.size} bytes exceeds the frame limit" }
    return ByteBuffer.allocate(LENGTH_BYTES + HEADER_BYTES + body.size)
        .putInt(HEADER_BYTES + body.size)
        .put(PROTOCOL_VERSION)
        .put(kind.code)
        .put(body)
        .array()
}

internal inline fun <reified T> decodeBody(body: ByteArray): T = cbor.decodeFromByteArray(body)

/** Checks a length field; [largestBody] is smaller during the handshake. */
internal fun checkLength(length: Int, largestBody: Int = MAX_BODY_BYTES): Either<ProtocolError, Int> =
    if (length in HEADER_BYTES..HEADER_BYTES + largestBody) {
        length.right()
    } else {
        ProtocolError("frame length $length is outside $HEADER_BYTES to ${largestBody + 2}").left()
    }

/** Decodes a frame without its length field. Never throws. */
internal fun decodeFrame(frame: ByteArray): Either<ProtocolError, Frame> =
    decodeWith(frame) { kind, body ->
        if (kind.isData) {
            decodeDataBody(kind, body)?.let { Frame.Data(it) }
        } else {
            decodeControlBody(kind, body)?.let { Frame.Control(it) }
        }
    }

/**
 * Decodes a frame by [decode], which returns null for a kind it does not accept. The decoder of
 * the CBOR library throws more than its own exception type on malformed input, so every exception
 * becomes a fault.
 */
internal fun <T : Any> decodeWith(
    frame: ByteArray,
    decode: (FrameKind, ByteArray) -> T?
): Either<ProtocolError, T> {
    if (frame.size < HEADER_BYTES) return ProtocolError("frame of ${frame.size} bytes").left()
    if (frame[0] != PROTOCOL_VERSION) return ProtocolError("unknown version ${frame[0]}").left()
    val kind = FrameKind.of(frame[1]) ?: return ProtocolError("unknown kind ${frame[1]}").left()
    return Either.catch { decode(kind, frame.copyOfRange(HEADER_BYTES, frame.size)) }
        .mapLeft { ProtocolError("undecodable $kind: ${it::class.simpleName}") }
        .fold({ it.left() }, { it?.right() ?: ProtocolError("unexpected $kind").left() })
}
