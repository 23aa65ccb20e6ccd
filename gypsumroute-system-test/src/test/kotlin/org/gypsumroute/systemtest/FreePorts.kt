package org.gypsumroute.systemtest

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Free ports below the range from which the system takes ports of outgoing connections, so that
 * a port stays free until a process listens on it, and while that process is being replaced.
 */
internal object FreePorts {
    private const val FIRST = 20_000
    private const val COUNT = 12_000
    private const val STEP = 97
    private val next = AtomicInteger((ProcessHandle.current().pid() * STEP % COUNT).toInt())

    fun take(): Int {
        repeat(COUNT) {
            val port = FIRST + next.getAndIncrement() % COUNT
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
