/*
 * CBOR records of the handshake. A label is never given to another field.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.gypsumroute.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

@Serializable
internal class HelloRecord(
    @CborLabel(label = 1) val host: String,
    @CborLabel(label = 2) val incarnation: String,
    @CborLabel(label = 3) val role: Int,
    @CborLabel(label = 4) val dataCentre: String,
    @ByteString @CborLabel(label = 5) val nonce: ByteArray
)

@Serializable
internal class ProofRecord(@ByteString @CborLabel(label = 1) val proof: ByteArray)
