/*
 * The HTTP server of all stand-ins, on the loopback address.
 */
package org.gypsumroute.test

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import java.net.InetAddress
import java.net.ServerSocket
import kotlinx.coroutines.runBlocking

/**
 * A running HTTP server on 127.0.0.1; port 0 lets the system choose one. Throws
 * `BindException` if the port is in use.
 */
class StandInServer(port: Int, module: Application.() -> Unit) : AutoCloseable {
    private val server = embeddedServer(CIO, port = port, host = LOOPBACK, module = module)

    /** The port that the server listens on. */
    val port: Int

    /** Host and port, as clients name the server. */
    val address: String get() = "$LOOPBACK:$port"

    init {
        // The server reports a port in use only as a cancellation, so the port is bound and
        // released first.
        ServerSocket(port, 1, InetAddress.getByName(LOOPBACK)).close()
        server.start(wait = false)
        this.port = runBlocking { server.engine.resolvedConnectors().first().port }
    }

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_MILLISECONDS)

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val STOP_MILLISECONDS = 200L
    }
}
