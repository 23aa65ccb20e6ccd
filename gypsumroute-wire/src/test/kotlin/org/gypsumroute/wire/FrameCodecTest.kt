/*
 * Round trips of all frames, and the decoder's handling of malformed input.
 */
package org.gypsumroute.wire

import arrow.core.Either
import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory
import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.PeerMessage
import org.gypsumroute.api.ServiceId

class FrameCodecTest {
    private fun decode(frame: ByteArray): Either<ProtocolError, Frame> =
        decodeFrame(frame.copyOfRange(LENGTH_BYTES, frame.size))

    private fun errorDetail(frame: ByteArray): String =
        assertNotNull(decodeFrame(frame).leftOrNull()).detail

    @Property(tries = 200, seed = "11")
    fun `every control message is decoded as it was encoded`(@ForAll seed: Long) {
        for (message in FrameGenerator(seed).messages()) {
            val decoded = assertIs<Frame.Control>(decode(encodeControl(message)).getOrNull())
            assertEquals(message, decoded.message)
        }
    }

    @Property(tries = 200, seed = "12")
    fun `every data frame is decoded as it was encoded`(@ForAll seed: Long) {
        for (frame in FrameGenerator(seed).dataFrames()) {
            val decoded = assertIs<Frame.Data>(decode(encodeData(frame)).getOrNull()).frame
            assertEquals(frame::class, decoded::class)
            assertContentEquals(encodeData(frame), encodeData(decoded))
        }
    }

    @Example
    fun `the generator produces every message and data frame of the protocol`() {
        val generator = FrameGenerator(1)
        val generated = (generator.messages() + generator.dataFrames()).map { it.javaClass }.toSet()
        val declared =
            PeerMessage::class.java.declaredClasses + DataFrame::class.java.declaredClasses
        assertEquals(declared.filter { it.superclass == Any::class.java }.toSet(), generated)
    }

    @Example
    fun `a heartbeat without summary takes at most 24 bytes of body`() {
        val frame = encodeControl(PeerMessage.Heartbeat(Long.MIN_VALUE, null))
        assertTrue(frame.size - LENGTH_BYTES - HEADER_BYTES <= 24, "${frame.size}")
    }

    @Example
    fun `unknown fields of a newer sender are ignored`() {
        // {1: 5, 99: [1, {2: "x"}], 2: null}
        val body = byteArrayOf(
            0xa3.toByte(), 1, 5, 0x18, 99, 0x82.toByte(), 1, 0xa1.toByte(), 2, 0x61, 0x78, 2,
            0xf6.toByte()
        )
        val frame = byteArrayOf(PROTOCOL_VERSION, FrameKind.HEARTBEAT.code) + body
        val decoded = assertIs<Frame.Control>(decodeFrame(frame).getOrNull())
        assertEquals(PeerMessage.Heartbeat(5, null), decoded.message)
    }

    @Property(tries = 500, seed = "13")
    fun `decoding random bodies never throws`(@ForAll seed: Long) {
        val random = Random(seed)
        val body = random.nextBytes(random.nextInt(300))
        for (kind in FrameKind.entries) {
            decodeFrame(byteArrayOf(PROTOCOL_VERSION, kind.code) + body)
        }
    }

    @Property(tries = 100, seed = "14")
    fun `decoding truncated or altered frames never throws`(@ForAll seed: Long) {
        val random = Random(seed)
        for (frame in FrameGenerator(seed).encoded()) {
            decodeFrame(frame.copyOf(random.nextInt(frame.size)))
            val altered = frame.clone()
            repeat(3) { altered[random.nextInt(2, frame.size)] = random.nextInt().toByte() }
            decodeFrame(altered)
        }
    }

    @Example
    fun `a frame that declares huge sizes does not cause large allocations`() {
        // Every CBOR type that has a length (byte string, text, list, map), of 2^31 - 1 elements.
        for (major in listOf(0x5a, 0x7a, 0x9a, 0xba)) {
            for (kind in FrameKind.entries) {
                val huge = byteArrayOf(major.toByte(), 0x7f, -1, -1, -1)
                val hugeField = byteArrayOf(0xa1.toByte(), 1) + huge
                for (body in listOf(huge, hugeField)) {
                    val frame = byteArrayOf(PROTOCOL_VERSION, kind.code) + body
                    val allocated = bytesAllocatedBy { decodeFrame(frame) }
                    assertTrue(allocated < MAX_BODY_BYTES, "$kind allocated $allocated bytes")
                }
            }
        }
    }

    @Example
    fun `a document that exceeds its limit after decompression is rejected`() {
        val oversized = ByteArray(MAX_DOCUMENT_BYTES + 1)
        val offer = PeerMessage.DocumentOffer(ServiceId("s"), DocumentContent(oversized))
        assertFailsWith<IllegalArgumentException> { encodeControl(offer) }
        val record = DocumentOfferRecord("s", deflated(oversized))
        val frame = encodeFrame(FrameKind.DOCUMENT_OFFER, record)
        assertTrue(decode(frame).isLeft())
    }

    @Example
    fun `frame lengths outside the limits are rejected before the body is read`() {
        for (length in listOf(-1, 0, 1, HEADER_BYTES + MAX_BODY_BYTES + 1, Int.MAX_VALUE)) {
            assertTrue(checkLength(length).isLeft(), "$length")
        }
        assertTrue(checkLength(HEADER_BYTES + MAX_BODY_BYTES).isRight())
        assertTrue(checkLength(HEADER_BYTES + MAX_BODY_BYTES, MAX_HANDSHAKE_BODY_BYTES).isLeft())
    }

    @Example
    fun `errors name an unknown version or kind and an unexpected kind`() {
        assertEquals("unknown version 2", errorDetail(byteArrayOf(2, FrameKind.HEARTBEAT.code)))
        assertEquals("unknown kind 127", errorDetail(byteArrayOf(PROTOCOL_VERSION, 127)))
        val hello = byteArrayOf(PROTOCOL_VERSION, FrameKind.HELLO.code, 0xa0.toByte())
        assertEquals("unexpected HELLO", errorDetail(hello))
    }

    @Example
    fun `a data payload above its limit is neither encoded nor decoded`() {
        val bytes = ByteArray(MAX_DATA_PAYLOAD_BYTES + 1)
        val chunk = DataFrame.PromptChunk(LeaseId("l"), 0, bytes, last = true)
        assertFailsWith<IllegalArgumentException> { encodeData(chunk) }
        val frame = encodeFrame(FrameKind.PROMPT_CHUNK, PromptChunkRecord("l", 0, bytes))
        assertTrue(decode(frame).isLeft())
    }

    private fun bytesAllocatedBy(action: () -> Unit): Long {
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val bytesBefore = threads.currentThreadAllocatedBytes
        action()
        return threads.currentThreadAllocatedBytes - bytesBefore
    }

    private fun deflated(bytes: ByteArray): ByteArray {
        val output = ByteBuffer.allocate(bytes.size)
        java.util.zip.Deflater().run {
            setInput(bytes)
            finish()
            deflate(output)
            end()
        }
        return output.array().copyOf(output.position())
    }
}
