/*
 * Ways to close the connection of a caller.
 */
package org.gypsumroute.gateway.callers

import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel

/** Resets the connection, which a linger time of 0 causes, and drops what is unsent. */
internal fun Channel.reset() {
    config().setOption(ChannelOption.SO_LINGER, 0)
    close()
}

/**
 * Closes the output without a reset, and the connection once [afterwards] says so. Closing a socket
 * that has unread bytes, or receives some afterwards, resets the connection and loses what the
 * caller has not read yet. Therefore input is discarded until the caller closes its side.
 */
internal fun Channel.closeAfterInput(afterwards: (close: () -> Unit) -> Unit) {
    val socket = this as? SocketChannel
    if (socket == null) {
        close()
    } else {
        socket.shutdownOutput()
        afterwards { close() }
    }
}
