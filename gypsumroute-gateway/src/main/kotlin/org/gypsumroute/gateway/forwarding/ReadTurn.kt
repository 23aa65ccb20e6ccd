/*
 * Bounds what one connection may have read before the other connections of the event loop have
 * their turn.
 *
 * The work of a read depends on the number of messages that the decoder finds in it rather than on
 * its bytes: chunks of a few bytes take hundreds of times as long as the same bytes in one chunk.
 */
package org.gypsumroute.gateway.forwarding

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelConfig
import io.netty.channel.RecvByteBufAllocator

/**
 * The reads of one channel. With [readsUntilEmpty], the channel is read again after a read that did
 * not fill its buffer.
 */
internal class ReadTurn(readsUntilEmpty: Boolean) : RecvByteBufAllocator {
    private val reads = AdaptiveRecvByteBufAllocator(
        MIN_READ_BYTES,
        FIRST_READ_BYTES,
        MAX_READ_BYTES
    )
        .respectMaybeMoreData(!readsUntilEmpty)
        .maxMessagesPerRead(MAX_READS)
    private var messages = 0

    /** Called for each message that was decoded. */
    fun messageRead() {
        messages++
    }

    override fun newHandle(): RecvByteBufAllocator.Handle =
        object : RecvByteBufAllocator.DelegatingHandle(reads.newHandle()) {
            override fun reset(config: ChannelConfig) {
                messages = 0
                super.reset(config)
            }

            override fun continueReading(): Boolean =
                messages < MAX_MESSAGES && super.continueReading()
        }

    private companion object {
        const val MAX_READS = 64
        const val MIN_READ_BYTES = 64
        const val FIRST_READ_BYTES = 2048

        /** All messages of a read are decoded within the turn, however many they are. */
        const val MAX_READ_BYTES = 16 * 1024

        /** More than reads of long bodies in large chunks decode to. */
        const val MAX_MESSAGES = 256
    }
}
