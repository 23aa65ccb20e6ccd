/*
 * Recognises response heads that were joined from two responses.
 *
 * An endpoint may write a second response late, when the next request was sent already, and break
 * it off. Its beginning then becomes a part of the head of the next response, whose status line
 * ends up in the reason phrase or in a header.
 */
package org.gypsumroute.gateway.endpoints

import io.netty.handler.codec.http.HttpResponse

/** Whether a response head holds the status line of another response, or a part of one. */
internal fun isJoined(response: HttpResponse): Boolean =
    response.protocolVersion().protocolName() != PROTOCOL ||
        holdsStatusLine(response.status().reasonPhrase()) ||
        response.headers().any { (name, value) -> VERSION_START in name || holdsStatusLine(value) }

private fun holdsStatusLine(text: String): Boolean =
    VERSION_START in text && STATUS_LINE.containsMatchIn(text)

private const val PROTOCOL = "HTTP"
private const val VERSION_START = "$PROTOCOL/"
private val STATUS_LINE = Regex("$VERSION_START[0-9][.][0-9] [0-9]{3}")
