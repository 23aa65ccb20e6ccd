package org.gypsumroute.wire

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import org.gypsumroute.api.Revision

class PublishedItemsCodecTest {
    private fun items(seed: Int): PublishedItems {
        val random = Random(seed)
        val items = List(random.nextInt(0, 20)) {
            "key-$it" to random.nextBytes(random.nextInt(0, 300))
        }
        return PublishedItems(Revision(random.nextLong(0, Long.MAX_VALUE)), items.toMap())
    }

    @Test
    fun `items are decoded byte for byte as they were encoded`() {
        repeat(100) { seed ->
            val original = items(seed)
            val decoded = assertNotNull(decodeItems(encodeItems(original)).getOrNull())
            assertEquals(original.revision, decoded.revision)
            assertEquals(original.items.keys, decoded.items.keys)
            for ((key, value) in original.items) assertContentEquals(value, decoded.items[key])
        }
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
}
