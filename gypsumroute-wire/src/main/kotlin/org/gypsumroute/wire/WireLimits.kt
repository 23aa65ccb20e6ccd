/*
 * Limits of the protocol. Both sides of a connection rely on them, so a change needs a new version.
 */
package org.gypsumroute.wire

/** Largest payload of one data frame, so that a control frame waits for little data. */
const val MAX_DATA_PAYLOAD_BYTES = 64 * 1024

/** Version byte of every frame. */
internal const val PROTOCOL_VERSION: Byte = 1

/** Bytes of the length field before each frame. */
internal const val LENGTH_BYTES = 4

/** Bytes of version and kind, which the length field counts. */
internal const val HEADER_BYTES = 2

/** Largest CBOR body of a frame. */
internal const val MAX_BODY_BYTES = 1024 * 1024

/** Largest body in the handshake, where the peer has not proved anything yet. */
internal const val MAX_HANDSHAKE_BODY_BYTES = 4 * 1024

/** Largest document after inflating; the configuration service limits values to this size. */
internal const val MAX_DOCUMENT_BYTES = 1024 * 1024
