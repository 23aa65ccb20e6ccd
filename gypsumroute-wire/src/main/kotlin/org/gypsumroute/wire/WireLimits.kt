/*
 * Limits of the protocol. Both sides of a connection rely on them, so that a change requires a new
 * [PROTOCOL_VERSION].
 */
package org.gypsumroute.wire

/** Largest payload of one data frame. Kept small so that a control frame waits for little data. */
const val MAX_DATA_PAYLOAD_BYTES = 64 * 1024

/** Version byte of every frame. */
internal const val PROTOCOL_VERSION: Byte = 1

/** Size of the length field before each frame. */
internal const val LENGTH_BYTES = 4

/** Size of version byte and kind byte, which the length field includes. */
internal const val HEADER_BYTES = 2

/** Largest CBOR body of a frame. */
internal const val MAX_BODY_BYTES = 1024 * 1024

/** Largest CBOR body in the handshake, small because the peer is not yet authenticated. */
internal const val MAX_HANDSHAKE_BODY_BYTES = 4 * 1024

/** Largest document after decompression; the configuration service limits values to it, too. */
internal const val MAX_DOCUMENT_BYTES = 1024 * 1024
