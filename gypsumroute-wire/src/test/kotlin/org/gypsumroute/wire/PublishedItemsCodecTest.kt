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
    fun `items survive the round trip byte for byte`() {
        repeat(100) { seed ->
            val before = items(seed)
            val after = assertNotNull(decodeItems(encodeItems(before)).getOrNull())
            assertEquals(before.revision, after.revision)
            assertEquals(before.items.keys, after.items.keys)
            for ((key, value) in before.items) assertContentEquals(value, after.items[key])
        }
    }

    /** Another gateway may run another version, or its answer may be cut. */
    @Test
    fun `spoiled items are faults and never throw`() {
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
