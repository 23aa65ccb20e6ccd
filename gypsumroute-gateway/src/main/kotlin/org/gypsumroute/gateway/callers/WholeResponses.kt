/*
 * Responses whose body is complete when they begin.
 */
package org.gypsumroute.gateway.callers

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.gypsumroute.api.Failure

/** A response with [body] and its length, unless the status allows no body. */
internal fun wholeResponse(
    status: HttpResponseStatus,
    headers: HttpHeaders,
    body: ByteBuf
): FullHttpResponse {
    val trailers = EmptyHttpHeaders.INSTANCE
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, trailers)
    if (!isBodiless(status)) HttpUtil.setContentLength(response, body.readableBytes().toLong())
    return response
}

/** The error response of the gateway itself. */
internal fun refusalResponse(failure: Failure): FullHttpResponse = wholeResponse(
    HttpResponseStatus.valueOf(failure.kind.httpStatus),
    refusalHeaders(failure),
    refusalBody(failure)
)

private fun isBodiless(status: HttpResponseStatus): Boolean =
    status.code() == HttpResponseStatus.NO_CONTENT.code() ||
        status.code() == HttpResponseStatus.NOT_MODIFIED.code()
