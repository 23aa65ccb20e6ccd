/*
 * Runs a gateway's traffic between raw sockets on loopback. The test takes the place of the
 * reducer.
 */
package org.gypsumroute.gateway.forwarding

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.assertNotNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.gypsumroute.api.AttemptId
import org.gypsumroute.api.CallerLimits
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointStatement
import org.gypsumroute.api.Event
import org.gypsumroute.api.ForwardEffect
import org.gypsumroute.api.ForwardEvent
import org.gypsumroute.api.ForwardTarget
import org.gypsumroute.api.Repetition
import org.gypsumroute.api.RequestHead
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.UnixTime
import org.gypsumroute.gateway.callers.RequestMemory
import org.gypsumroute.gateway.endpoints.ResponseHead

/** More connections than any test opens. */
internal const val MAX_CALLERS = 1000

/** The heap that the deployment file gives the process. */
internal const val HEAP_BYTES = 128L * 1024 * 1024

/** Gateway traffic with short header names, which keep the tests readable. */
internal class TrafficFixture(heapBytes: Long = HEAP_BYTES) : AutoCloseable {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val events = LinkedBlockingQueue<Event>()

    /** Reports of dropped bytes, apart from [events], since they come at any time. */
    val droppedInput = LinkedBlockingQueue<ForwardEvent.InputDropped>()
    private val openResources = ArrayList<AutoCloseable>()
    val traffic = ForwardTraffic(loop, testCodec, MAX_CALLERS, RequestMemory(heapBytes)) {
        if (it is ForwardEvent.InputDropped) droppedInput += it else events += it
    }
    private val port = traffic.listen(InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).port
    private var nextAttempt = 1L

    /** Waits for the next event; fails if none arrives or if it has another type. */
    inline fun <reified E : Event> nextEvent(): E {
        val event = assertNotNull(events.poll(WAIT_SECONDS, TimeUnit.SECONDS), "no event")
        return event as? E ?: error("unexpected $event")
    }

    /** Waits for [time] and returns whether no event arrived. */
    fun hasNoEvent(time: Duration = 150.milliseconds): Boolean =
        events.poll(time.inWholeMilliseconds, TimeUnit.MILLISECONDS) == null

    /** The events of the next [time]. */
    fun eventsWithin(time: Duration): List<Event> {
        Thread.sleep(time.inWholeMilliseconds)
        return ArrayList<Event>().also { events.drainTo(it) }
    }

    fun execute(effect: ForwardEffect) = traffic.execute(effect)

    fun setCallerLimits(limits: CallerLimits) {
        execute(ForwardEffect.SetCallerLimits(limits))
        loop.submit { }.sync()
    }

    /** Runs [action] while the event loop is occupied, so that all its input stays unread. */
    fun whileLoopIsOccupied(action: () -> Unit) = loop.whileOccupied(action)

    fun call(request: String): RawConnection =
        RawConnection(Socket(InetAddress.getLoopbackAddress(), port)).also {
            openResources += it
            it.write(request)
        }

    /** Starts an endpoint; [receiveBufferBytes] bounds what it takes before it reads. */
    fun endpoint(script: (RawConnection) -> Unit, receiveBufferBytes: Int?): StubEndpoint =
        StubEndpoint(script, receiveBufferBytes).also { openResources += it }

    fun endpoint(script: (RawConnection) -> Unit): StubEndpoint = endpoint(script, null)

    /** Starts an attempt to send the request that arrived to [endpoint]. */
    fun send(
        arrived: ForwardEvent.Arrived,
        endpoint: EndpointAddress,
        streaming: Boolean = false,
        endpointId: String = "e1",
        repetition: Repetition = Repetition.IDEMPOTENT,
        remaining: Duration = 5.seconds,
        firstByteLimit: Duration = 5.seconds,
        gapLimit: Duration = 5.seconds
    ): AttemptId {
        val attempt = AttemptId(nextAttempt++)
        execute(
            ForwardEffect.Send(
                arrived.request,
                attempt,
                ForwardTarget(
                    EndpointId(endpointId),
                    endpoint,
                    ENDPOINT_START,
                    null,
                    remaining,
                    null,
                    emptyList(),
                    streaming,
                    repetition,
                    firstByteLimit,
                    gapLimit
                )
            )
        )
        return attempt
    }

    /** Waits until [endpoint] has accepted [count] connections. */
    fun awaitConnections(endpoint: StubEndpoint, count: Int) {
        val end = TimeSource.Monotonic.markNow() + WAIT_SECONDS.seconds
        while (endpoint.connections.size < count) {
            check(end.hasNotPassedNow()) { "${endpoint.connections.size} connections" }
            Thread.sleep(5)
        }
    }

    fun awaitAttemptEnd(request: RequestId): ForwardEvent.AttemptEnded =
        nextEvent<ForwardEvent.AttemptEnded>().also { check(it.request == request) }

    /** Ends the event loop, which closes all connections of the gateway. */
    fun endLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    override fun close() {
        openResources.forEach { it.close() }
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    companion object {
        const val WAIT_SECONDS = 5L
        const val SETTLE_MILLISECONDS = 50L
        val ENDPOINT_START = UnixTime(7)
    }
}

/** Runs [action] while the loop is occupied. */
internal fun EventLoopGroup.whileOccupied(action: () -> Unit) {
    val occupied = CountDownLatch(1)
    val done = CountDownLatch(1)
    execute {
        occupied.countDown()
        done.await()
    }
    occupied.await()
    action()
    // Segments that are under way reach the sockets of the loop.
    Thread.sleep(TrafficFixture.SETTLE_MILLISECONDS)
    done.countDown()
}

/** An endpoint that runs [script] for each connection and records the connections. */
internal class StubEndpoint(
    private val script: (RawConnection) -> Unit,
    receiveBufferBytes: Int? = null
) : AutoCloseable {
    private val listener = ServerSocket().apply {
        receiveBufferBytes?.let { receiveBufferSize = it }
        bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50)
    }
    val address = EndpointAddress("127.0.0.1", listener.localPort)
    val connections = LinkedBlockingQueue<RawConnection>()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                val connection = RawConnection(socket)
                connections += connection
                thread(isDaemon = true) { runCatching { script(connection) } }
            }
        }
    }

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
    }
}

/** One side of a TCP connection, with text as input and output. */
internal class RawConnection(private val socket: Socket) : AutoCloseable {
    private val input: InputStream = socket.getInputStream()

    init {
        socket.soTimeout = TimeUnit.SECONDS.toMillis(TrafficFixture.WAIT_SECONDS).toInt()
        socket.tcpNoDelay = true
    }

    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    /** Reads up to and including [terminator], or up to the end of the connection. */
    fun readTo(terminator: String): String = buildString {
        while (!endsWith(terminator)) {
            val byte = input.read()
            if (byte < 0) return@buildString
            append(byte.toChar())
        }
    }

    /** Reads this number of bytes, or up to the end of the connection. */
    fun readBytes(count: Int): ByteArray = input.readNBytes(count)

    /** Reads headers and, if they have a Content-Length, the body. */
    fun readMessage(): String {
        val head = readTo("\r\n\r\n")
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt()
        return head + String(input.readNBytes(length ?: 0), Charsets.ISO_8859_1)
    }

    /** Reads to the end of the connection; returns null if it was reset or timed out. */
    fun readAll(): String? =
        runCatching { String(input.readAllBytes(), Charsets.ISO_8859_1) }.getOrNull()

    /** Waits for the end of the connection; returns whether it is a reset without another byte. */
    fun isReset(): Boolean = runCatching { input.read() }.exceptionOrNull() is SocketException

    /** Closes the connection so that the peer receives a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    fun finishWriting() = socket.shutdownOutput()

    override fun close() = socket.close()
}

internal val testCodec = ForwardCodec(
    readHead = { line, header ->
        RequestHead(
            callerRequestId = header.first("X-Id").orEmpty(),
            hostName = header.first("Host").orEmpty(),
            path = line.target.substringBefore('?'),
            keyDigest = header.first("X-Key"),
            timeout = header.first("X-Deadline")?.toLong()?.milliseconds,
            promptTokens = null,
            outputLimit = null,
            expectedOutput = null
        )
    },
    attemptHeaders = { target, remaining ->
        listOf(
            HeaderField("X-Deadline", remaining.inWholeMilliseconds.toString()),
            HeaderField("X-Endpoint", target.endpoint.value)
        )
    },
    withheldHeaders = setOf("x-key", "x-deadline"),
    readResponse = { status, header ->
        ResponseHead(
            callerRequestId = header.first("X-Id"),
            signed = header.first("X-Signature") != null,
            notRun = header.first("X-Not-Run") != null,
            misdirected = status == 421,
            faultyAddress = null,
            statements =
                listOfNotNull(header.first("X-Leaving")?.let { EndpointStatement.Leaving })
        )
    }
)

/** A complete response of an endpoint to the request with this id. */
internal fun responseTo(id: String, body: String = "hello", status: String = "200 OK"): String =
    "HTTP/1.1 $status\r\nX-Id: $id\r\nX-Signature: s\r\nContent-Length: ${body.length}\r\n\r\n$body"

/** The response head of an event stream; chunks and the last chunk have to follow. */
internal fun streamHeadFor(id: String): String =
    "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n"

internal fun chunk(text: String): String = "${text.length.toString(16)}\r\n$text\r\n"

internal fun get(id: String, path: String = "/a/b", extraHeaders: String = ""): String =
    "GET $path HTTP/1.1\r\nHost: a.example\r\nX-Id: $id\r\n$extraHeaders\r\n"
