package org.gypsumroute.systemtest

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Chooses free ports below the range that the system assigns to outgoing connections. A port thus
 * stays free until a process listens on it, and also while that process is restarted. The first
 * port depends on the process id, so that concurrent test runs rarely choose the same ports.
 */
internal object FreePorts {
    private const val FIRST_PORT = 20_000
    private const val PORT_COUNT = 12_000
    private const val PORT_STRIDE = 97
    private val nextIndex =
        AtomicInteger((ProcessHandle.current().pid() * PORT_STRIDE % PORT_COUNT).toInt())

    fun take(): Int {
        repeat(PORT_COUNT) {
            val port = FIRST_PORT + nextIndex.getAndIncrement() % PORT_COUNT
            if (isFree(port)) return port
        }
        error("no free port")
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (_: IOException) {
        false
    }
}
