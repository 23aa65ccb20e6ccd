/*
 * Encoding of published items: a version byte and a CBOR body compressed with [deflate].
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.gypsumroute.wire

import arrow.core.Either
import arrow.core.left
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.gypsumroute.api.Revision
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.StorePosition

/**
 * Encodes items for another gateway. Throws IllegalArgumentException if their CBOR form exceeds 8
 * MiB.
 */
fun encodeItems(items: PublishedItems): ByteArray {
    val records = items.items.map { (key, value) -> ItemRecord(key, value) }
    val position = items.position
    val body = cbor.encodeToByteArray(
        ItemsRecord(position.revision.value, records, position.era.value)
    )
    return byteArrayOf(ITEMS_VERSION) + deflate(body, MAX_ITEMS_BYTES)
}

/** Decodes items that another gateway sent. Never throws. */
fun decodeItems(bytes: ByteArray): Either<ProtocolError, PublishedItems> {
    if (bytes.firstOrNull() !=
        ITEMS_VERSION
    ) {
        return ProtocolError("unknown version of items").left()
    }
    return Either.catch {
        val body = inflate(bytes.copyOfRange(1, bytes.size), MAX_ITEMS_BYTES)
        val record = cbor.decodeFromByteArray<ItemsRecord>(body)
        val position = StorePosition(StoreEra(record.era), Revision(record.revision))
        PublishedItems(position, record.items.associate { it.key to it.value })
    }.mapLeft { ProtocolError("undecodable items: ${it::class.simpleName}") }
}

@Serializable
private class ItemsRecord(
    @CborLabel(label = 1) val revision: Long,
    @CborLabel(label = 2) val items: List<ItemRecord>,
    @CborLabel(label = 3) val era: Long = 0
)

@Serializable
private class ItemRecord(
    @CborLabel(label = 1) val key: String,
    @ByteString @CborLabel(label = 2) val value: ByteArray
)

private const val ITEMS_VERSION: Byte = 1

/** Enough for a routing table of the largest value size and some thousand endpoints. */
private const val MAX_ITEMS_BYTES = 8 * 1024 * 1024
