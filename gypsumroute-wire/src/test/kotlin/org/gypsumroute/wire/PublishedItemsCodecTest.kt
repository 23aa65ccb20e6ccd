package org.gypsumroute.wire

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import org.gypsumroute.api.Revision
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.StorePosition

class PublishedItemsCodecTest {
    private fun items(seed: Int): PublishedItems {
        val random = Random(seed)
        val items = List(random.nextInt(0, 20)) {
            "key-$it" to random.nextBytes(random.nextInt(0, 300))
        }
        val revision = Revision(random.nextLong(0, Long.MAX_VALUE))
        return PublishedItems(
            StorePosition(StoreEra(random.nextLong(0, 9)), revision),
            items.toMap()
        )
    }

    @Test
    fun `items are decoded byte for byte as they were encoded`() {
        repeat(100) { seed ->
            val original = items(seed)
            val decoded = assertNotNull(decodeItems(encodeItems(original)).getOrNull())
            assertEquals(original.position, decoded.position)
            assertEquals(original.items.keys, decoded.items.keys)
            for ((key, value) in original.items) assertContentEquals(value, decoded.items[key])
        }
    }

    /** Guards against an answer of a peer that overflows the stack or memory of its receiver. */
    @Test
    fun `items that are nested deeply or state a huge size are rejected`() {
        val nested = listOf(0x81, 0x9f, 0xa1, 0xc1).map { opening ->
            byteArrayOf(0xbf.toByte(), 0x18, 99) + ByteArray(DEEP) { opening.toByte() }
        }
        val huge = byteArrayOf(0xbf.toByte(), 2, 0x9b.toByte(), 0, 0, 0, 0, 0x7f, -1, -1, -1)
        for (body in nested + huge) {
            assertNotNull(decodeItems(byteArrayOf(1) + deflate(body, DEEP * 2)).leftOrNull())
        }
    }

    /** Guards against one odd item that keeps a peer from handing on all the others. */
    @Test
    fun `items of any key and value are handed on`() {
        val odd = mapOf(
            "servers/${"x".repeat(5_000)}" to ByteArray(0),
            "servers/a\u0000\n" to ByteArray(1024 * 1024) { '['.code.toByte() },
            "" to byteArrayOf(-1, -2)
        )
        val decoded = decodeItems(
            encodeItems(PublishedItems(StorePosition(StoreEra(2), Revision(7)), odd))
        ).getOrNull()
        assertEquals(odd.keys, assertNotNull(decoded).items.keys)
    }

    /** Another gateway may run another version, and its response may be truncated. */
    @Test
    fun `decoding corrupted items never throws and rejects malformed ones`() {
        repeat(500) { seed ->
            val random = Random(seed)
            val bytes = encodeItems(items(seed))
            val corrupted = bytes.copyOf(random.nextInt(bytes.size))
            if (corrupted.isNotEmpty()) {
                corrupted[random.nextInt(corrupted.size)] = random.nextInt().toByte()
            }
            decodeItems(corrupted)
        }
        assertNotNull(decodeItems(ByteArray(0)).leftOrNull())
        assertNotNull(decodeItems("nonsense".encodeToByteArray()).leftOrNull())
    }

    private companion object {
        const val DEEP = 1024 * 1024
    }
}
