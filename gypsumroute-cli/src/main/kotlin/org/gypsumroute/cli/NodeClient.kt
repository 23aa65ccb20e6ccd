/*
 * Reads pages of operators' ports.
 */
package org.gypsumroute.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.IOException
import java.time.Duration
import okhttp3.OkHttpClient
import okhttp3.Request

/** A page with its HTTP status. */
internal class NodePage(val status: Int, val bytes: ByteArray)

/** Reads a page of the node at a base URL, or says why it could not be reached. */
internal typealias ReadNode = (node: String, path: String) -> Either<String, NodePage>

/** Reads over HTTP; a node that takes longer than 5 s counts as not reached. */
internal class NodeClient {
    /** Built on first use, since every start of the program builds all commands. */
    private val http by lazy {
        OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .callTimeout(LONGEST_CALL)
            .build()
    }

    /** The page at [path] of [node], or why it could not be read. */
    fun read(node: String, path: String): Either<String, NodePage> = try {
        http.newCall(Request.Builder().url(node + path).build()).execute().use { answer ->
            val bytes = answer.body.byteStream().readNBytes(LARGEST_PAGE + 1)
            if (bytes.size > LARGEST_PAGE) {
                "the page has more than $LARGEST_PAGE bytes".left()
            } else {
                NodePage(answer.code, bytes).right()
            }
        }
    } catch (failure: IOException) {
        (failure.message ?: failure.javaClass.simpleName).left()
    }

    private companion object {
        val LONGEST_CALL: Duration = Duration.ofSeconds(5)
        const val LARGEST_PAGE = 64 * 1024 * 1024
    }
}
