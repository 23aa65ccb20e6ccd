/*
 * Encoding of frames. A frame is a 4-byte length, a version byte, a kind byte and a CBOR body. The
 * length counts the bytes after the length field.
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

/** A decoded frame of an established connection. */
internal sealed interface Frame {
    /** A message that the control thread handles. */
    class Control(val message: PeerMessage) : Frame

    /** Prompt or answer bytes that a traffic thread handles. */
    class Data(val frame: DataFrame) : Frame
}

/**
 * Encodes [record] as the body of a frame, with its length field and header. Throws
 * IllegalArgumentException if the body exceeds [MAX_BODY_BYTES].
 */
internal inline fun <reified T> encodeFrame(kind: FrameKind, record: T): ByteArray {
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

/** Validates a frame's length field. The handshake passes a smaller [maxBodyBytes]. */
internal fun checkLength(
    length: Int,
    maxBodyBytes: Int = MAX_BODY_BYTES
): Either<ProtocolError, Int> = if (length in HEADER_BYTES..HEADER_BYTES + maxBodyBytes) {
    length.right()
} else {
    ProtocolError("frame length $length is outside $HEADER_BYTES to ${maxBodyBytes + 2}").left()
}

/** Decodes a [frame] that was read without its length field. Never throws. */
internal fun decodeFrame(frame: ByteArray): Either<ProtocolError, Frame> =
    decodeWith(frame) { kind, body ->
        if (kind.isData) {
            decodeDataBody(kind, body)?.let { Frame.Data(it) }
        } else {
            decodeControlBody(kind, body)?.let { Frame.Control(it) }
        }
    }

/**
 * Checks the header of [frame] and decodes its body with [decode], which returns null for a kind
 * that it does not accept. On malformed input the CBOR library throws exceptions other than its own
 * type too, so every exception becomes a [ProtocolError].
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
