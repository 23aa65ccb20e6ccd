/*
 * Reads pages from the operators' ports of nodes.
 */
package org.gypsumroute.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.IOException
import java.time.Duration
import okhttp3.OkHttpClient
import okhttp3.Request

/** The body of a response with its HTTP status. */
internal class NodePage(val status: Int, val bytes: ByteArray)

/** Reads the page at a path of a node's base URL, or returns why the node could not be reached. */
internal typealias NodePageReader = (node: String, path: String) -> Either<String, NodePage>

/** Reads pages over HTTP. A node that takes longer than 5 s counts as unreachable. */
internal class NodeClient {
    /** Built on first use, because commands are also built to show help or usage errors. */
    private val http by lazy {
        OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .callTimeout(CALL_TIMEOUT)
            .build()
    }

    /** Returns the page at [path] of the base URL [node], or why it could not be read. */
    fun read(node: String, path: String): Either<String, NodePage> = try {
        http.newCall(Request.Builder().url(node + path).build()).execute().use { response ->
            val bytes = response.body.byteStream().readNBytes(MAX_PAGE_BYTES + 1)
            if (bytes.size > MAX_PAGE_BYTES) {
                "the page has more than $MAX_PAGE_BYTES bytes".left()
            } else {
                NodePage(response.code, bytes).right()
            }
        }
    } catch (failure: IOException) {
        (failure.message ?: failure.javaClass.simpleName).left()
    }

    private companion object {
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(5)
        const val MAX_PAGE_BYTES = 64 * 1024 * 1024
    }
}
